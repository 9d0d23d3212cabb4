//! Requests that are never sent: no replica is available, or the caller
//! disconnected.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response};
use transport::Payload;
use upstreams::{
    Call, Endpoint, Message, Pool, PoolConfig, Ran, Reason, Recipient, Reply, RetryPolicy,
};

#[path = "support/test_pool.rs"]
mod test_pool;

use test_pool::{AllUpstreams, empty_pool};

const DEADLINE: Millis = Millis(300);
const TICK: Millis = Millis(10);

struct NeverSent;

impl Message for NeverSent {
    fn id(&self) -> &str {
        "r"
    }

    fn to_request(&self, _: &Recipient<'_>, _: Millis) -> Option<Request<Payload>> {
        unreachable!("nothing is sent")
    }

    fn read(&self, _: &Recipient<'_>, _: Response<Bytes>) -> Reply {
        unreachable!("nothing is sent")
    }
}

fn draining(id: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "a".to_owned(),
        started_at: None,
        slots: 2,
        connections: 2,
        is_drained: true,
        is_evacuated: false,
        cold: None,
    }
}

fn call(awaits_replicas: bool) -> Call {
    let policy = RetryPolicy {
        attempts: 2,
        hedge_percent: 10,
        retry_percent: 10,
        awaits_replicas,
        hedge_within: None,
    };
    test_pool::call(NeverSent, DEADLINE, policy)
}

fn pool() -> Rc<Pool> {
    let pool = empty_pool(PoolConfig::default());
    pool.install(&[draining("u1"), draining("u2")]);
    pool
}

/// Counts ticks until it is dropped.
async fn tick(ticks: Rc<Cell<u64>>) {
    loop {
        compio::time::sleep(TICK.into()).await;
        ticks.set(ticks.get() + 1);
    }
}

#[compio::test]
async fn waiting_for_replicas_does_not_block_the_thread() {
    let pool = pool();
    let ticks = Rc::new(Cell::new(0));
    let ticker = compio::runtime::spawn(tick(ticks.clone()));
    let result = pool.fetch(&AllUpstreams(pool.clone()), &call(true)).await;
    let failure = result.expect_err("no replica is available");
    assert_eq!((failure.reason, failure.ran), (Reason::NoReplica, Ran::No));
    assert!(
        ticks.get() >= DEADLINE.0 / TICK.0 / 2,
        "{} ticks",
        ticks.get()
    );
    drop(ticker);
}

#[compio::test]
async fn a_call_that_does_not_await_replicas_fails_at_once() {
    let pool = pool();
    let began = Millis::now();
    let result = pool.fetch(&AllUpstreams(pool.clone()), &call(false)).await;
    let failure = result.expect_err("no replica is available");
    assert_eq!((failure.reason, failure.ran), (Reason::NoReplica, Ran::No));
    assert!(Millis::now().since(began) < DEADLINE - Millis(100));
}

#[compio::test]
async fn a_service_without_upstreams_has_no_replica() {
    let pool = empty_pool(PoolConfig::default());
    let result = pool.fetch(&AllUpstreams(pool.clone()), &call(false)).await;
    let failure = result.expect_err("there is no replica");
    assert_eq!((failure.reason, failure.ran), (Reason::NoReplica, Ran::No));
}

#[compio::test]
async fn a_request_whose_caller_disconnected_is_not_dispatched() {
    let pool = empty_pool(PoolConfig::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    pool.install(&[Endpoint {
        address: listener.local_addr().unwrap(),
        is_drained: false,
        ..draining("u1")
    }]);
    let call = call(false);
    call.caller_left.set(true);
    let result = pool.dispatch(&AllUpstreams(pool.clone()), &call).await;
    let failure = result.expect_err("the caller has disconnected");
    assert_eq!((failure.reason, failure.ran), (Reason::CallerLeft, Ran::No));
}
