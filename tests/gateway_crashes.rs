//! A request that ends each upstream that runs it, sent again and again to several
//! gateways: how often it reaches upstreams, and what becomes of the other
//! requests. Real processes run against a stand-in store and upstreams.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response, StatusCode};
use rstest::rstest;
use standins::fleet::wait_until;
use standins::platform::crash_load::{
    Harmless, is_quarantined, print_logs, start_gateways, try_get, try_send,
};
use standins::platform::crash_site::CrashSite;
use standins::platform::gateway::{Gateway, PROPAGATION, retry_after_s};
use standins::platform::site::{READ, SEARCH};
use standins::platform::upstream::CRASHING;
use transport::Payload;

/// A machine counts as undisturbed after this time (`stable-window-ms`).
const STABLE_WINDOW: Millis = Millis(4_000);
/// Sends of a crashing request that are allowed after that.
const LATE_SENDS: usize = 3;
/// Upstreams of the whole site.
const UPSTREAMS: usize = 16;
const CRASH_INTERVAL: Millis = Millis(250);
const RUN_TIME: Millis = Millis(12_000);
/// Callers that leave before the upstream ends do so after this time.
const CALLER_PATIENCE: Millis = Millis(50);
const TROUBLE_AT: Millis = Millis(6_000);
const RESTART_INTERVAL: Millis = Millis(3_000);
/// A quarantined request is told to come back later than after this time.
const MIN_RETRY_AFTER_S: f64 = 60.0;

/// What happens to the gateways and the store during a test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// One gateway after the other is killed and started again.
    Restarts,
    /// All gateways are killed at once and started again.
    AllRestarted,
    /// The store refuses calls from the start of the requests on.
    StoreAway,
}

/// Sends the crashing request to the gateways in turn, with trouble meanwhile;
/// returns the last answer.
async fn send_crashing(
    site: &CrashSite,
    gateways: &mut [Gateway],
    path: &str,
    trouble: Trouble,
) -> Response<Bytes> {
    let begin = Millis::now();
    let (mut last, mut troubles) = (None, 0);
    site.store.is_down.set(trouble == Trouble::StoreAway);
    for n in 0.. {
        let elapsed = Millis::now().since(begin);
        if elapsed > RUN_TIME {
            break;
        }
        compio::time::sleep(CRASH_INTERVAL.into()).await;
        let address = gateways[n % gateways.len()].endpoints.callers();
        last = try_get(address, path, &format!("c-{n}")).await.or(last);
        match trouble {
            Trouble::Restarts if elapsed.0 / RESTART_INTERVAL.0 > troubles => {
                let next = troubles as usize % gateways.len();
                gateways[next].restart().await;
                troubles += 1;
            }
            Trouble::AllRestarted if elapsed > TROUBLE_AT && troubles == 0 => {
                gateways.iter_mut().for_each(|g| g.process.kill());
                for gateway in gateways.iter_mut() {
                    gateway.restart().await;
                }
                troubles += 1;
            }
            _ => {}
        }
    }
    last.expect("a gateway answered")
}

#[rstest]
#[case::one_gateway(1, 1, Trouble::None)]
#[case::seven_gateways(7, 1, Trouble::None)]
#[case::seven_gateways_with_restarts(7, 1, Trouble::Restarts)]
#[case::seven_gateways_on_a_search_over_shards(7, 4, Trouble::None)]
#[case::all_gateways_restarted_at_once(7, 1, Trouble::AllRestarted)]
#[case::no_store(7, 1, Trouble::StoreAway)]
#[compio::test]
async fn a_crashing_request_reaches_upstreams_of_all_gateways_together_three_times(
    #[case] gateways: usize,
    #[case] shards: usize,
    #[case] trouble: Trouble,
) {
    let site = CrashSite::start(shards, UPSTREAMS / shards).await;
    let mut gateways = start_gateways(&site, gateways).await;
    let prefix = match shards {
        1 => READ,
        _ => SEARCH,
    };
    let harmless = Rc::new(Harmless::default());
    let load = harmless.start(&gateways, prefix);
    let path = format!("{prefix}{CRASHING}");
    let last = send_crashing(&site, &mut gateways, &path, trouble).await;
    drop(load);
    let late = site.log.late_arrivals(STABLE_WINDOW);
    println!(
        "{} ends, {} sends, {late} of them late; harmless: {} sent, {} answered, {} quarantined",
        site.log.ends.borrow().len(),
        site.log.arrivals.borrow().len(),
        harmless.sent.get(),
        harmless.answered.get(),
        harmless.quarantined.borrow().len(),
    );
    print_logs(&gateways);
    let refused = harmless.quarantined.borrow();
    assert!(refused.is_empty(), "harmless requests refused: {refused:?}");
    assert!(
        late <= LATE_SENDS,
        "{late} late sends, last answer {last:?}"
    );
    assert!(is_quarantined(&last), "{last:?}");
    assert_eq!(last.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = retry_after_s(&last).expect("the refusal says when to retry");
    assert!(retry_after > MIN_RETRY_AFTER_S, "{retry_after}");
}

/// Leases can expire while the store is away, and their records with them.
#[compio::test]
async fn a_quarantine_outlives_the_loss_of_its_records_and_all_gateways() {
    const RECORDS: &str = "coltsfootgw/crashes/";
    const REWRITE_TIME: Duration = Duration::from_secs(6);
    let site = CrashSite::start(1, UPSTREAMS).await;
    let mut gateways = start_gateways(&site, 2).await;
    let path = format!("{READ}{CRASHING}");
    for n in 0..6 {
        let address = gateways[n % 2].endpoints.callers();
        try_get(address, &path, &format!("c-{n}")).await;
        compio::time::sleep(CRASH_INTERVAL.into()).await;
    }
    let ends = site.log.ends.borrow().len();
    let is_recorded = async || site.store.has(RECORDS);
    wait_until("the crashes are in the store", PROPAGATION, is_recorded).await;
    site.store.delete_all(RECORDS);
    wait_until("the crashes are written again", REWRITE_TIME, is_recorded).await;
    compio::time::sleep(PROPAGATION).await;
    gateways.iter_mut().for_each(|g| g.process.kill());
    gateways[0].restart().await;
    wait_until("the gateway is ready", PROPAGATION, async || {
        gateways[0].is_ready().await
    })
    .await;
    let answer = gateways[0].get(&path, "last").await;
    assert!(is_quarantined(&answer), "{answer:?}");
    assert_eq!(site.log.ends.borrow().len(), ends);
}

/// Guards against a request that ends upstreams being forgotten when its caller disconnects
/// before the upstream ends.
#[rstest]
#[case::read(1, READ)]
#[case::search(4, SEARCH)]
#[compio::test]
async fn a_crashing_request_is_quarantined_though_its_callers_have_left(
    #[case] shards: usize,
    #[case] prefix: &str,
) {
    let site = CrashSite::start(shards, UPSTREAMS / shards).await;
    site.log.outlives_callers.set(true);
    let gateways = start_gateways(&site, 3).await;
    let harmless = Rc::new(Harmless::default());
    let load = harmless.start(&gateways, prefix);
    let path = format!("{prefix}{CRASHING}");
    let begin = Millis::now();
    for n in 0.. {
        if Millis::now().since(begin) > RUN_TIME {
            break;
        }
        compio::time::sleep(CRASH_INTERVAL.into()).await;
        let gateway = gateways[n % gateways.len()].endpoints.callers();
        let request = Request::get(&path).body(Payload::default()).unwrap();
        try_send(gateway, request, &format!("c-{n}"), CALLER_PATIENCE).await;
    }
    drop(load);
    let late = site.log.late_arrivals(STABLE_WINDOW);
    println!(
        "{} ends, {} sends, {late} of them late",
        site.log.ends.borrow().len(),
        site.log.arrivals.borrow().len()
    );
    print_logs(&gateways);
    assert!(site.log.ends.borrow().len() >= 3);
    assert!(late <= LATE_SENDS, "{late} late sends");
    let refused = harmless.quarantined.borrow();
    assert!(refused.is_empty(), "harmless requests refused: {refused:?}");
}
