//! Requests to the gateways of a site whose upstreams can be ended, and what becomes of them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use compio::runtime::JoinHandle;
use http::{Request, Response, StatusCode};
use transport::Payload;

use super::crash_site::CrashSite;
use super::gateway::{ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, TIMEOUT, start_gateway_at};
use super::site::HOST;
use super::upstream::CRASHING;
use crate::fleet::wait_until;

/// Harmless requests are sent to each gateway at this interval.
const HARMLESS_INTERVAL: Millis = Millis(85);
/// Every other harmless request has one of this many paths.
const REPEATED_PATHS: usize = 20;
/// Every tenth harmless request differs from the crashing one in its credentials
/// alone.
const NEAR_INTERVAL: usize = 10;

/// Starts gateways of a site and waits until they are ready and know each other.
pub async fn start_gateways(site: &CrashSite, count: usize) -> Vec<Gateway> {
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

/// Sends a request without a body; `None` if the gateway does not answer.
pub async fn try_get(gateway: SocketAddr, path: &str, id: &str) -> Option<Response<Bytes>> {
    let request = Request::get(path).body(Payload::default()).unwrap();
    try_send(gateway, request, id, TIMEOUT).await
}

/// Sends a request; its caller disconnects after `patience`.
///
/// # Panics
///
/// Panics if a header is not valid.
pub async fn try_send(
    gateway: SocketAddr,
    mut request: Request<Payload>,
    id: &str,
    patience: Millis,
) -> Option<Response<Bytes>> {
    let headers = [
        ("host", HOST),
        ("request-id", id),
        ("deadline-milliseconds", "1000"),
    ];
    for (name, value) in headers {
        request.headers_mut().insert(name, value.parse().unwrap());
    }
    let sent = transport::request(gateway, request, ANSWER_LIMIT_BYTES, patience);
    sent.await.ok()
}

/// Whether an answer says that the request is quarantined.
pub fn is_quarantined(answer: &Response<Bytes>) -> bool {
    answer.body().starts_with(b"quarantined")
}

/// Harmless requests that are sent to gateways during a test.
#[derive(Default)]
pub struct Harmless {
    /// Requests that were sent.
    pub sent: Cell<usize>,
    /// Those that were answered.
    pub answered: Cell<usize>,
    /// Paths of those that were refused as quarantined.
    pub quarantined: RefCell<Vec<String>>,
}

impl Harmless {
    /// Starts to send requests to gateways, until the tasks are dropped.
    pub fn start(self: &Rc<Self>, gateways: &[Gateway], prefix: &str) -> Vec<JoinHandle<()>> {
        let all = gateways.iter().enumerate();
        all.map(|(n, g)| self.start_one(g, n, prefix)).collect()
    }

    fn start_one(
        self: &Rc<Self>,
        gateway: &Gateway,
        number: usize,
        prefix: &str,
    ) -> JoinHandle<()> {
        let (harmless, prefix) = (self.clone(), prefix.to_owned());
        let address = gateway.endpoints.callers();
        compio::runtime::spawn(async move {
            for n in 0.. {
                compio::time::sleep(HARMLESS_INTERVAL.into()).await;
                let path = match n % 2 {
                    _ if n % NEAR_INTERVAL == 0 => format!("{prefix}{CRASHING}"),
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

    /// Sends a request to a gateway and counts its outcome.
    pub async fn send(&self, gateway: SocketAddr, path: &str, id: &str) {
        self.sent.set(self.sent.get() + 1);
        let request = Request::get(path)
            .header("authorization", "harmless")
            .body(Payload::default())
            .unwrap();
        match try_send(gateway, request, id, TIMEOUT).await {
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

/// Prints what gateways have logged of crashes.
pub fn print_logs(gateways: &[Gateway]) {
    for (n, gateway) in gateways.iter().enumerate() {
        let log = gateway.process.read_log();
        let count = |line: &str| log.lines().filter(|l| l.contains(line)).count();
        println!(
            "gateway {n}: {} connections lost, {} crashes, {} quarantined",
            count("connection lost during requests"),
            count("upstream crashed during request"),
            count("request quarantined"),
        );
    }
}
