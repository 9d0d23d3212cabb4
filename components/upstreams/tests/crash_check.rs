//! Whether a lost connection counts as a crash: the upstream may have ended, or
//! only dropped the connection.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use clock::Millis;
use futures_util::future::join;
use rstest::rstest;
use upstreams::{CrashStatus, Endpoint, LinkCheck, Pool, PoolConfig};

#[path = "support/test_pool.rs"]
mod test_pool;
#[path = "support/unanswered.rs"]
mod unanswered;

use test_pool::{AllUpstreams, empty_pool};
use unanswered::call_once;

const TIMEOUT: Millis = Millis(2_000);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// A pool with one upstream of two slots.
fn pool(listener: &TcpListener) -> Rc<Pool> {
    let config = PoolConfig {
        confirms_crashes: true,
        ..PoolConfig::default()
    };
    let pool = empty_pool(config);
    listener.set_nonblocking(true).unwrap();
    pool.install(&[endpoint("u1", listener)]);
    pool
}

fn endpoint(id: &str, listener: &TcpListener) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: listener.local_addr().unwrap(),
        domain: "a".to_owned(),
        started_at: Some(Millis(7)),
        slots: 2,
        connections: 2,
        is_drained: false,
        is_evacuated: false,
        cold: None,
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return stream,
            Err(_) => compio::time::sleep(ACCEPT_INTERVAL).await,
        }
    }
}

fn status(pool: &Pool, fingerprint: u64) -> CrashStatus {
    pool.shared().crashes.status(fingerprint, Millis::now())
}

#[rstest]
#[case::ended(true, CrashStatus::Suspect)]
#[case::dropped_the_connection(false, CrashStatus::Clear)]
#[compio::test]
async fn only_an_upstream_that_refuses_connections_has_crashed(
    #[case] has_crashed: bool,
    #[case] expected: CrashStatus,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    let call = call_once(1, TIMEOUT);
    let shard = AllUpstreams(pool.clone());
    let serve = async {
        let stream = accept(&listener).await;
        compio::time::sleep(Duration::from_millis(20)).await;
        let kept = (!has_crashed).then_some(listener);
        drop(stream);
        compio::time::sleep(Duration::from_millis(200)).await;
        drop(kept);
    };
    let (result, ()) = join(pool.fetch(&shard, &call), serve).await;
    result.expect_err("the connection is lost");
    assert_eq!(status(&pool, 1), expected);
}

#[compio::test]
async fn a_request_that_was_not_sent_to_an_ended_upstream_is_no_suspect() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    let calls = [call_once(1, TIMEOUT), call_once(2, TIMEOUT)];
    let shard = AllUpstreams(pool.clone());
    let serve = async {
        let stream = accept(&listener).await;
        drop(listener);
        drop(stream);
    };
    let (result, ()) = join(pool.fetch(&shard, &calls[0]), serve).await;
    result.expect_err("the connection is lost");
    let result = pool.fetch(&shard, &calls[1]).await;
    result.expect_err("the upstream refuses connections");
    assert_eq!(status(&pool, 1), CrashStatus::Suspect);
    assert_eq!(status(&pool, 2), CrashStatus::Clear);
}

/// The daemon's own links are lost if it reaches no other upstream either.
#[rstest]
#[case::another_one_is_reached(true, CrashStatus::Suspect)]
#[case::none_is_reached(false, CrashStatus::Clear)]
#[compio::test]
async fn a_crash_counts_only_while_other_upstreams_are_reached(
    #[case] is_reached: bool,
    #[case] expected: CrashStatus,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    let call = call_once(1, TIMEOUT);
    let shard = AllUpstreams(pool.clone());
    let serve = async {
        let stream = accept(&listener).await;
        // Known only now, so that the request goes to the first one.
        pool.install(&[endpoint("u1", &listener), endpoint("u2", &other)]);
        let kept = is_reached.then_some(other);
        drop(listener);
        drop(stream);
        compio::time::sleep(Duration::from_millis(200)).await;
        drop(kept);
    };
    let (result, ()) = join(pool.fetch(&shard, &call), serve).await;
    result.expect_err("the connection is lost");
    assert_eq!(status(&pool, 1), expected);
}

#[compio::test]
async fn a_check_of_the_links_leaves_no_connection_open() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    assert_eq!(pool.shared().check_links().await, LinkCheck::Reachable);
    let open: usize = pool.upstream_views().iter().map(|u| u.open).sum();
    assert_eq!(open, 0);
}

/// Accepts connections until `end`; returns how many are still open then.
async fn count_open(listeners: &[TcpListener], end: Millis) -> usize {
    let mut streams: Vec<TcpStream> = Vec::new();
    while Millis::now() < end {
        let accepted = listeners.iter().filter_map(|l| l.accept().ok());
        streams.extend(accepted.map(|(stream, _)| stream));
        compio::time::sleep(ACCEPT_INTERVAL).await;
    }
    assert!(!streams.is_empty(), "nothing was accepted");
    let is_open = |mut stream: &TcpStream| {
        stream.set_nonblocking(true).unwrap();
        !matches!(stream.read(&mut [0]), Ok(0))
    };
    streams.iter().filter(|stream| is_open(stream)).count()
}

/// A daemon that checks its links again and again must not hold connections that no
/// request uses: upstreams accept few.
#[compio::test]
async fn a_check_of_links_leaves_no_connection_open() {
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let pool = pool(&listeners[0]);
    let endpoints = listeners.iter().enumerate().map(|(n, listener)| {
        listener.set_nonblocking(true).unwrap();
        endpoint(&format!("u{n}"), listener)
    });
    pool.install(&endpoints.collect::<Vec<Endpoint>>());
    let checks = async {
        for _ in 0..3 {
            assert_eq!(pool.shared().check_links().await, LinkCheck::Reachable);
        }
    };
    let end = Millis::now() + Millis(300);
    let (open, ()) = join(count_open(&listeners, end), checks).await;
    assert_eq!(open, 0);
}
