//! Requests that are sent to a gateway at a constant rate, and what became of them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use compio::runtime::JoinHandle;
use http::{Request, Response, StatusCode};
use transport::Payload;

use super::gateway::{ANSWER_LIMIT_BYTES, Gateway, TIMEOUT, retry_after_s};
use super::site::HOST;

/// One request and its outcome.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When the request was sent.
    pub sent_at: Millis,
    /// Time until the answer, or until the request failed.
    pub elapsed: Millis,
    /// Status of the answer; `None` if there was none.
    pub status: Option<StatusCode>,
    /// Time in seconds after which the caller may retry, if the answer says so.
    pub retry_after_s: Option<f64>,
}

impl Outcome {
    /// Whether the request was served.
    pub fn is_served(&self) -> bool {
        self.status == Some(StatusCode::OK)
    }
}

/// A load on one gateway; dropping it stops it.
pub struct PacedLoad {
    outcomes: Rc<RefCell<Vec<Outcome>>>,
    _task: JoinHandle<()>,
}

impl PacedLoad {
    /// Sends a request below `prefix` each `interval`, each on a new connection and
    /// with an identifier that begins with `name`.
    pub fn start(gateway: SocketAddr, name: &str, prefix: &str, interval: Millis) -> Self {
        Self::start_with_key(gateway, name, prefix, interval, None)
    }

    /// As [`PacedLoad::start`], with a key in each request.
    pub fn start_with_key(
        gateway: SocketAddr,
        name: &str,
        prefix: &str,
        interval: Millis,
        key: Option<&'static str>,
    ) -> Self {
        let outcomes: Rc<RefCell<Vec<Outcome>>> = Rc::default();
        let (all, name, prefix) = (outcomes.clone(), name.to_owned(), prefix.to_owned());
        let task = compio::runtime::spawn(async move {
            for n in 0.. {
                compio::time::sleep(interval.into()).await;
                let (all, id) = (all.clone(), format!("{name}-{n}"));
                let path = format!("{prefix}{id}");
                compio::runtime::spawn(async move {
                    let outcome = send(gateway, &path, &id, key).await;
                    all.borrow_mut().push(outcome);
                })
                .detach();
            }
        });
        Self {
            outcomes,
            _task: task,
        }
    }

    /// Returns the outcomes of the requests that were sent at `from` or later.
    pub fn outcomes_since(&self, from: Millis) -> Vec<Outcome> {
        let outcomes = self.outcomes.borrow();
        let later = outcomes.iter().filter(|o| o.sent_at >= from);
        later.cloned().collect()
    }
}

/// Starts a load on each of some gateways.
pub fn start_loads(gateways: &[Gateway], prefix: &str, interval: Millis) -> Vec<PacedLoad> {
    let each = gateways.iter().enumerate();
    let load = each.map(|(n, gateway)| {
        let address = gateway.endpoints.callers();
        PacedLoad::start(address, &format!("g{n}"), prefix, interval)
    });
    load.collect()
}

/// Returns the outcomes of all requests that were sent at `from` or later.
pub fn outcomes_since(loads: &[PacedLoad], from: Millis) -> Vec<Outcome> {
    let all = loads.iter();
    all.flat_map(|load| load.outcomes_since(from)).collect()
}

/// Returns the share of requests that were served, and prints it.
pub fn served_share(outcomes: &[Outcome]) -> f64 {
    let served = outcomes.iter().filter(|o| o.is_served()).count();
    println!("{served} of {} served", outcomes.len());
    served as f64 / outcomes.len() as f64
}

async fn send(gateway: SocketAddr, path: &str, id: &str, key: Option<&str>) -> Outcome {
    let mut builder = Request::get(path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-milliseconds", "1000");
    if let Some(key) = key {
        builder = builder.header("x-api-key", key);
    }
    let request = builder
        .body(Payload::default())
        .expect("the request is valid");
    let sent_at = Millis::now();
    let sent = transport::request(gateway, request, ANSWER_LIMIT_BYTES, TIMEOUT).await;
    let answer: Option<Response<Bytes>> = sent.ok();
    Outcome {
        sent_at,
        elapsed: Millis::now().since(sent_at),
        status: answer.as_ref().map(Response::status),
        retry_after_s: answer.as_ref().and_then(retry_after_s),
    }
}
