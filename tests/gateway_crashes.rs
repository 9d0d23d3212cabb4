//! A request that ends each upstream that runs it, sent again and again to several
//! gateways: how often it reaches upstreams, and what becomes of the other
//! requests. Real processes run against a stand-in store and upstreams.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use compio::runtime::JoinHandle;
use http::{Request, Response, StatusCode};
use rstest::rstest;
use standins::fleet::wait_until;
use standins::platform::crash_site::CrashSite;
use standins::platform::gateway::{
    ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, TIMEOUT, start_gateway_at,
};
use standins::platform::site::{HOST, READ, SEARCH};
use transport::Payload;

/// A machine counts as undisturbed after this time (`stable-window-ms`).
const STABLE_WINDOW: Millis = Millis(4_000);
/// Sends of a crashing request that are allowed after that.
const LATE_SENDS: usize = 3;
const CRASH_INTERVAL: Millis = Millis(250);
const RUN_TIME: Millis = Millis(12_000);
/// Harmless requests are sent to each gateway at this interval.
const HARMLESS_INTERVAL: Millis = Millis(85);
/// Every other harmless request has one of this many paths.
const REPEATED_PATHS: usize = 20;

async fn start_gateways(site: &CrashSite, count: usize) -> Vec<Gateway> {
    let mut gateways: Vec<Gateway> = Vec::new();
    for _ in 0..count {
        let seeds: Vec<_> = gateways.iter().take(3).map(|g| g.endpoints).collect();
        gateways.push(start_gateway_at(site.store_address, &seeds).await);
    }
    for gateway in &gateways {
        wait_until("the gateway is ready", PROPAGATION, async || {
            gateway.is_ready().await
        })
        .await;
    }
    compio::time::sleep(PROPAGATION).await;
    gateways
}

async fn try_get(gateway: std::net::SocketAddr, path: &str, id: &str) -> Option<Response<Bytes>> {
    let request = Request::get(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-milliseconds", "1000")
        .body(Payload::default())
        .unwrap();
    let sent = transport::request(gateway, request, ANSWER_LIMIT_BYTES, TIMEOUT);
    sent.await.ok()
}

fn is_quarantined(answer: &Response<Bytes>) -> bool {
    answer.body().starts_with(b"quarantined")
}

/// Harmless requests that are sent to a gateway during a test.
#[derive(Default)]
struct Harmless {
    sent: Cell<usize>,
    answered: Cell<usize>,
    quarantined: RefCell<Vec<String>>,
}

impl Harmless {
    fn start(self: &Rc<Self>, gateway: &Gateway, number: usize, prefix: &str) -> JoinHandle<()> {
        let (harmless, prefix) = (self.clone(), prefix.to_owned());
        let address = gateway.endpoints.callers();
        compio::runtime::spawn(async move {
            for n in 0.. {
                compio::time::sleep(HARMLESS_INTERVAL.into()).await;
                let path = match n % 2 {
                    0 => format!("{prefix}once-{number}-{n}"),
                    _ => format!("{prefix}often-{}", n % REPEATED_PATHS),
                };
                let harmless = harmless.clone();
                compio::runtime::spawn(async move {
                    harmless
                        .send(address, &path, &format!("h-{number}-{n}"))
                        .await;
                })
                .detach();
            }
        })
    }

    async fn send(&self, gateway: std::net::SocketAddr, path: &str, id: &str) {
        self.sent.set(self.sent.get() + 1);
        match try_get(gateway, path, id).await {
            Some(answer) if answer.status() == StatusCode::OK => {
                self.answered.set(self.answered.get() + 1);
            }
            Some(answer) if is_quarantined(&answer) => {
                self.quarantined.borrow_mut().push(path.to_owned());
            }
            _ => {}
        }
    }
}

#[rstest]
#[case::one_gateway(1, 1, false)]
#[case::seven_gateways(7, 1, false)]
#[case::seven_gateways_with_restarts(7, 1, true)]
#[case::seven_gateways_on_a_search_over_shards(7, 4, false)]
#[compio::test]
async fn a_crashing_request_reaches_upstreams_of_all_gateways_together_three_times(
    #[case] gateways: usize,
    #[case] shards: usize,
    #[case] restarts: bool,
) {
    let site = CrashSite::start(shards, 16 / shards).await;
    let mut gateways = start_gateways(&site, gateways).await;
    let prefix = match shards {
        1 => READ,
        _ => SEARCH,
    };
    let harmless = Rc::new(Harmless::default());
    let load: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(n, g)| harmless.start(g, n, prefix))
        .collect();
    let path = format!("{prefix}crashing");
    let end = Millis::now() + RUN_TIME;
    let mut last = None;
    for n in 0.. {
        if Millis::now() > end {
            break;
        }
        compio::time::sleep(CRASH_INTERVAL.into()).await;
        let address = gateways[n % gateways.len()].endpoints.callers();
        last = try_get(address, &path, &format!("c-{n}")).await.or(last);
        // A restart every 3 s, each time of the next gateway.
        if restarts && n % 12 == 11 {
            let next = n / 12 % gateways.len();
            gateways[next].restart().await;
        }
    }
    drop(load);
    let late = site.log.late_arrivals(STABLE_WINDOW);
    let last = last.expect("a gateway answered");
    println!(
        "{} ends, {} sends, {late} of them late; harmless: {} sent, {} answered, {} quarantined",
        site.log.ends.borrow().len(),
        site.log.arrivals.borrow().len(),
        harmless.sent.get(),
        harmless.answered.get(),
        harmless.quarantined.borrow().len(),
    );
    for (n, gateway) in gateways.iter().enumerate() {
        let log = gateway.process.read_log();
        let count = |line: &str| log.lines().filter(|l| l.contains(line)).count();
        println!(
            "gateway {n}: {} connections lost, {} crashes, {} quarantined",
            count("connection lost under requests"),
            count("upstream ended under request"),
            count("request quarantined"),
        );
    }
    let refused = harmless.quarantined.borrow();
    assert!(refused.is_empty(), "harmless requests refused: {refused:?}");
    assert!(
        late <= LATE_SENDS,
        "{late} late sends, last answer {last:?}"
    );
    assert!(is_quarantined(&last), "{last:?}");
}
