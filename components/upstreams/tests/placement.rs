//! Placement of requests that ran while upstreams crashed.

use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response};
use transport::Payload;
use upstreams::{Call, Crash, Endpoint, Message, Pool, PoolConfig, Recipient, Reply, RetryPolicy};

#[path = "support/test_pool.rs"]
mod test_pool;

use test_pool::{AllUpstreams, empty_pool};

const BUDGET: Millis = Millis(30);

struct PlainRequest;

impl Message for PlainRequest {
    fn id(&self) -> &str {
        "r"
    }

    fn to_request(&self, _: &Recipient<'_>, _: Millis) -> Option<Request<Payload>> {
        Request::get("/")
            .header("host", "upstream")
            .body(Payload::new(Bytes::new()))
            .ok()
    }

    fn read(&self, _: &Recipient<'_>, _: Response<Bytes>) -> Reply {
        unreachable!("nothing answers")
    }
}

/// Listens but never answers.
fn silent() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

fn endpoint(id: &str, domain: &str, listener: &TcpListener) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: listener.local_addr().unwrap(),
        domain: domain.to_owned(),
        started_at: None,
        slots: 2,
        connections: 2,
        is_drained: false,
    }
}

fn call(fingerprint: u64) -> Call {
    let policy = RetryPolicy {
        attempts: 1,
        hedge_percent: 0,
        retry_percent: 0,
        awaits_replicas: false,
        hedge_within: None,
    };
    Call {
        fingerprint,
        ..test_pool::call(PlainRequest, BUDGET, policy)
    }
}

/// Runs requests one after the other; before each, a crash in domain `a` is
/// recorded for it.
async fn run_suspects(pool: &Rc<Pool>) {
    for fingerprint in 0..8 {
        let crash = Crash {
            upstream: "s/first".to_owned(),
            domain: "a".to_owned(),
            alone: false,
            shard: "s".to_owned(),
            expires_at: Millis::now() + upstreams::CRASH_TTL,
        };
        pool.shared()
            .crashes
            .record(fingerprint, crash, Millis::now());
        let result = pool
            .fetch(&AllUpstreams(pool.clone()), &call(fingerprint))
            .await;
        result.expect_err("nothing answers");
    }
}

#[compio::test]
async fn a_suspect_avoids_the_failure_domain_of_its_crash() {
    let (same, other) = (silent(), silent());
    let pool = empty_pool(PoolConfig::default());
    pool.install(&[endpoint("u1", "a", &same), endpoint("u2", "b", &other)]);
    run_suspects(&pool).await;
    assert!(same.accept().is_err(), "the whole domain may be failing");
    assert!(other.accept().is_ok());
}

#[compio::test]
async fn a_suspect_runs_in_the_same_failure_domain_if_there_is_no_other() {
    let same = silent();
    let pool = empty_pool(PoolConfig::default());
    pool.install(&[endpoint("u1", "a", &same)]);
    run_suspects(&pool).await;
    assert!(same.accept().is_ok());
}
