//! Requests whose permission is withdrawn before they are sent.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use clock::Millis;
use futures_util::future::join;
use upstreams::{
    CRASH_TTL, Call, Crash, Endpoint, Permission, Pool, PoolConfig, Ran, Reason, RetryPolicy,
};

#[path = "support/test_pool.rs"]
mod test_pool;
#[path = "support/unanswered.rs"]
mod unanswered;

use test_pool::{AllUpstreams, empty_pool};
use unanswered::call_once;

const TIMEOUT: Millis = Millis(2_000);

/// A permission that a test withdraws; counts how often it was asked.
struct Withdrawable {
    is_valid: Cell<bool>,
    asked: Cell<usize>,
}

impl Permission for Withdrawable {
    fn is_valid(&self) -> bool {
        self.asked.set(self.asked.get() + 1);
        self.is_valid.get()
    }
}

fn permission(is_valid: bool) -> Rc<Withdrawable> {
    Rc::new(Withdrawable {
        is_valid: Cell::new(is_valid),
        asked: Cell::new(0),
    })
}

fn endpoint(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address,
        domain: "a".to_owned(),
        started_at: None,
        slots: 2,
        connections: 2,
        is_drained: false,
        is_evacuated: false,
        cold: None,
    }
}

/// A pool with two upstreams that accept connections.
fn pool(listeners: &[TcpListener; 2], config: PoolConfig) -> Rc<Pool> {
    let pool = empty_pool(config);
    let address = |n: usize| listeners[n].local_addr().unwrap();
    pool.install(&[endpoint("u1", address(0)), endpoint("u2", address(1))]);
    pool
}

fn listeners() -> [TcpListener; 2] {
    [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").unwrap())
}

fn call(permission: &Rc<Withdrawable>) -> Call {
    let call = call_once(1, TIMEOUT);
    Call {
        permission: permission.clone(),
        policy: RetryPolicy {
            attempts: 3,
            retry_percent: 100,
            ..call.policy
        },
        ..call
    }
}

/// Guards against a booking that takes further slots, retries and time, or that is refused
/// for another reason, after its permission was withdrawn.
#[compio::test]
async fn a_booking_without_permission_is_refused_at_the_first_upstream() {
    let listeners = listeners();
    let pool = pool(&listeners, PoolConfig::default());
    let permission = permission(false);
    let shard = AllUpstreams(pool.clone());
    // Earns the tokens for retries.
    for _ in 0..3 {
        let result = pool.dispatch(&shard, &call(&permission)).await;
        let failure = result.expect_err("it may not be sent");
        assert_eq!((failure.reason, failure.ran), (Reason::Revoked, Ran::No));
    }
    assert_eq!(permission.asked.get(), 3);
}

fn crash(upstream: &str) -> Crash {
    Crash {
        upstream: upstream.to_owned(),
        shard: "s".to_owned(),
        domain: "a".to_owned(),
        alone: true,
        expires_at: Millis::now() + CRASH_TTL,
    }
}

/// Occupies the slot of an upstream that has not answered yet for a time.
async fn occupy(pool: &Rc<Pool>, time: Millis) {
    let shard = AllUpstreams(pool.clone());
    let call = call_once(9, TIMEOUT);
    let ended = compio::time::timeout(time.into(), pool.fetch(&shard, &call)).await;
    assert!(ended.is_err(), "nothing answers");
}

/// Guards against a request that is sent because its permission was asked for only before it
/// waited until crashes under it were explained by another request.
#[compio::test]
async fn a_permission_that_ends_while_crashes_are_explained_counts() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = empty_pool(PoolConfig {
        failures_to_eject: 100,
        crash_limit: 1,
        settle_time: Millis(400),
        ..PoolConfig::default()
    });
    pool.install(&[endpoint("u1", listener.local_addr().unwrap())]);
    let permission = permission(true);
    let call = call(&permission);
    let shard = AllUpstreams(pool.clone());
    let crashes = &pool.shared().crashes;
    let events = async {
        compio::time::sleep(Millis(100).into()).await;
        assert_eq!(pool.queued(), 1);
        crashes.record(1, crash("s/u1"), Millis::now());
        compio::time::sleep(Millis(250).into()).await;
        assert_eq!(pool.queued(), 0);
        permission.is_valid.set(false);
        crashes.record(2, crash("s/u1"), Millis::now());
        crashes.record(2, crash("s/u2"), Millis::now());
    };
    let sent = async {
        compio::time::sleep(Millis(50).into()).await;
        pool.fetch(&shard, &call).await
    };
    let ((), (result, ())) = join(occupy(&pool, Millis(200)), join(sent, events)).await;
    let failure = result.expect_err("it may not be sent");
    assert_eq!((failure.reason, failure.ran), (Reason::Revoked, Ran::No));
}
