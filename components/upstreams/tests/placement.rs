//! Placement of requests that ran while upstreams crashed.

use std::net::TcpListener;
use std::rc::Rc;

use clock::Millis;
use upstreams::{Crash, Endpoint, Pool, PoolConfig};

#[path = "support/silent.rs"]
mod silent;
#[path = "support/test_pool.rs"]
mod test_pool;
#[path = "support/unanswered.rs"]
mod unanswered;

use silent::silent;
use test_pool::{AllUpstreams, empty_pool};
use unanswered::call_once;

const TIMEOUT: Millis = Millis(30);

fn endpoint(id: &str, domain: &str, listener: &TcpListener) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: listener.local_addr().unwrap(),
        domain: domain.to_owned(),
        started_at: None,
        slots: 2,
        connections: 2,
        is_drained: false,
        is_evacuated: false,
        cold: None,
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
            .fetch(
                &AllUpstreams(pool.clone()),
                &call_once(fingerprint, TIMEOUT),
            )
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
