//! When an upstream counts as ended that has lost connections or fallen silent: only if
//! another process takes its place, and not for a reason of its own.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use clock::Millis;
use compio::runtime::JoinHandle;
use rstest::rstest;
use upstreams::{CrashStatus, Endpoint, LinkCheck, Pool, PoolConfig, Ran};

#[path = "support/test_pool.rs"]
mod test_pool;
#[path = "support/unanswered.rs"]
mod unanswered;

use test_pool::{AllUpstreams, empty_pool};
use unanswered::call_once;

const FINGERPRINT: u64 = 7;
/// Longer than a silent upstream takes to be found.
const TIMEOUT: Millis = Millis(4_000);
const SHORT_TIMEOUT: Millis = Millis(300);
const INTERVAL: Duration = Duration::from_millis(20);
/// A connection that is not accepted within this time meets a full queue.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

/// An upstream, its process and what it says of itself.
#[derive(Clone, Copy)]
struct Process {
    start: u64,
    address: SocketAddr,
    is_drained: bool,
}

fn endpoint(id: &str, process: Process) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: process.address,
        domain: "a".to_owned(),
        started_at: Some(Millis(process.start)),
        slots: 2,
        connections: 2,
        is_drained: process.is_drained,
        is_evacuated: false,
        cold: None,
    }
}

fn listen() -> (TcpListener, Process) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let process = Process {
        start: 1,
        address: listener.local_addr().unwrap(),
        is_drained: false,
    };
    (listener, process)
}

fn pool() -> Rc<Pool> {
    empty_pool(PoolConfig {
        confirms_crashes: true,
        ..PoolConfig::default()
    })
}

/// Sends a request in a task of its own.
fn send(pool: &Rc<Pool>, timeout: Millis) -> JoinHandle<()> {
    let pool = pool.clone();
    compio::runtime::spawn(async move {
        let call = call_once(FINGERPRINT, timeout);
        let result = pool.fetch(&AllUpstreams(pool.clone()), &call).await;
        result.expect_err("nothing answers");
    })
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return stream,
            Err(_) => compio::time::sleep(INTERVAL).await,
        }
    }
}

/// Fills the queue of a listener, so that further connections get no answer.
fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let connect = || TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok();
    std::iter::from_fn(connect).collect()
}

fn status(pool: &Pool) -> CrashStatus {
    pool.shared().crashes.status(FINGERPRINT, Millis::now())
}

fn crashes(pool: &Pool) -> usize {
    pool.shared().crashes.shared(Millis::now()).len()
}

/// Checks for silent upstreams until the request is a suspect.
async fn find_silence(pool: &Rc<Pool>) {
    while status(pool) == CrashStatus::Clear {
        pool.check_silent();
        compio::time::sleep(INTERVAL).await;
    }
}

/// Guards against requests being quarantined because an upstream resets their connections
/// and is replaced for another reason later.
#[rstest]
#[case::at_once(Millis(200), 1)]
#[case::later(Millis(1_300), 0)]
#[compio::test]
async fn an_upstream_that_lost_connections_has_ended_only_if_replaced_at_once(
    #[case] after: Millis,
    #[case] expected: usize,
) {
    let (listener, first) = listen();
    let (other, beside) = listen();
    let pool = pool();
    pool.install(&[endpoint("u", first)]);
    let sent = send(&pool, TIMEOUT);
    drop(accept(&listener).await);
    let _ = sent.await;
    compio::time::sleep(after.into()).await;
    let second = Process { start: 2, ..first };
    pool.install(&[endpoint("u", second), endpoint("other", beside)]);
    drop(other);
    assert_eq!(crashes(&pool), expected);
}

/// Guards against requests being quarantined because their upstream was cut off from this
/// daemon: it comes back, or it leaves as planned and another process follows it.
#[rstest]
#[case::another_process(None, 2, 1)]
#[case::same_process(None, 1, 0)]
#[case::left_as_planned(Some(1), 2, 0)]
#[compio::test]
async fn a_silent_upstream_has_ended_only_if_another_process_follows_unannounced(
    #[case] drained: Option<u64>,
    #[case] next: u64,
    #[case] expected: usize,
) {
    let (listener, first) = listen();
    let (_other, beside) = listen();
    let pool = pool();
    pool.install(&[endpoint("u", first)]);
    let sent = send(&pool, TIMEOUT);
    let _stream = accept(&listener).await;
    let _queue = fill_queue(first.address);
    let other = endpoint("other", beside);
    pool.install(&[endpoint("u", first), other.clone()]);
    find_silence(&pool).await;
    assert_eq!(crashes(&pool), 0, "silence alone is no crash");
    if let Some(start) = drained {
        let draining = Process {
            start,
            is_drained: true,
            ..first
        };
        pool.install(&[endpoint("u", draining), other.clone()]);
    }
    pool.install(std::slice::from_ref(&other));
    let following = Process {
        start: next,
        ..first
    };
    pool.install(&[endpoint("u", following), other]);
    assert_eq!(crashes(&pool), expected);
    drop(sent);
}

/// Guards against taking this daemon's links for lost because of upstreams that are gone.
#[compio::test]
async fn a_silent_upstream_that_was_dropped_says_nothing_of_the_links() {
    let (listener, first) = listen();
    let (_other, beside) = listen();
    let pool = pool();
    pool.install(&[endpoint("u", first)]);
    let sent = send(&pool, TIMEOUT);
    let _stream = accept(&listener).await;
    let _queue = fill_queue(first.address);
    pool.install(&[endpoint("u", first), endpoint("other", beside)]);
    find_silence(&pool).await;
    pool.install(&[]);
    assert_eq!(pool.shared().check_links().await, LinkCheck::Unknown);
    drop(sent);
}

/// Guards against telling peers of a request again and again while it stays unanswered.
#[compio::test]
async fn peers_are_told_once_of_a_suspect() {
    let (listener, first) = listen();
    let (_other, beside) = listen();
    let pool = pool();
    pool.install(&[endpoint("u", first)]);
    let sent = send(&pool, TIMEOUT);
    let _stream = accept(&listener).await;
    let _queue = fill_queue(first.address);
    pool.install(&[endpoint("u", first), endpoint("other", beside)]);
    find_silence(&pool).await;
    for _ in 0..60 {
        pool.check_silent();
        compio::time::sleep(INTERVAL).await;
    }
    assert_eq!(pool.shared().crashes.take_suspicions().len(), 1);
    drop(sent);
}

/// Guards against answering 504 for a request that must not be repeated and that never got a
/// connection: its caller may send it again.
#[compio::test]
async fn a_request_that_gets_no_connection_has_not_run() {
    let (_listener, first) = listen();
    let _queue = fill_queue(first.address);
    let pool = pool();
    pool.install(&[endpoint("u", first)]);
    let call = call_once(FINGERPRINT, SHORT_TIMEOUT);
    let result = pool.dispatch(&AllUpstreams(pool.clone()), &call).await;
    let failure = result.expect_err("nothing answers");
    assert_eq!(failure.ran, Ran::No);
}
