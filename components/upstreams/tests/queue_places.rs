//! Places in the queue of a pool whose upstreams never answer.

use std::net::TcpListener;
use std::rc::Rc;

use clock::Millis;
use rstest::rstest;
use upstreams::{Call, Endpoint, Failure, Pool, PoolConfig, Ran, Reason};

#[path = "support/test_pool.rs"]
mod test_pool;
#[path = "support/unanswered.rs"]
mod unanswered;

use test_pool::{AllUpstreams, empty_pool};
use unanswered::call_once;

const TIMEOUT: Millis = Millis(400);
const SHORTLY: Millis = Millis(50);
/// As set by [`empty_pool`].
const QUEUE_LIMIT: usize = 8;

type Outcome = compio::runtime::JoinHandle<Option<Failure>>;

fn pool(listener: &TcpListener) -> Rc<Pool> {
    let pool = empty_pool(PoolConfig::default());
    pool.install(&[Endpoint {
        id: "u1".to_owned(),
        address: listener.local_addr().unwrap(),
        domain: "a".to_owned(),
        started_at: None,
        slots: 1,
        connections: 1,
        is_drained: false,
        is_evacuated: false,
        cold: None,
    }]);
    pool
}

fn call(workspace: Option<&str>, fingerprint: u64) -> Call {
    Call {
        workspace: workspace.map(Rc::from),
        ..call_once(fingerprint, TIMEOUT)
    }
}

/// Sends requests one after the other; the first takes the slot, the others wait.
fn send(pool: &Rc<Pool>, workspace: Option<&'static str>, count: usize) -> Vec<Outcome> {
    let start = |n| {
        let pool = pool.clone();
        compio::runtime::spawn(async move {
            let shard = AllUpstreams(pool.clone());
            pool.fetch(&shard, &call(workspace, n as u64)).await.err()
        })
    };
    (0..count).map(start).collect()
}

async fn wait_shortly() {
    compio::time::sleep(SHORTLY.into()).await;
}

/// Guards against abandoned requests that keep others out of a full queue.
#[rstest]
#[case::with_workspaces(Some("a"), 0)]
#[case::without_workspaces_as_before(None, QUEUE_LIMIT)]
#[compio::test]
async fn a_caller_that_gives_up_frees_its_place_at_once(
    #[case] workspace: Option<&'static str>,
    #[case] left: usize,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    let mut sent = send(&pool, workspace, 1 + QUEUE_LIMIT);
    wait_shortly().await;
    assert_eq!(pool.queued(), QUEUE_LIMIT);
    // Dropping the handle cancels the request.
    sent.truncate(1);
    wait_shortly().await;
    assert_eq!(pool.queued(), left);
}

/// Guards against a workspace that fills the queue and keeps the others out.
#[compio::test]
async fn a_full_queue_makes_room_for_another_workspace() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    let mut large = send(&pool, Some("large"), 1 + QUEUE_LIMIT);
    wait_shortly().await;
    let began = Millis::now();
    let small = send(&pool, Some("small"), 1);
    let displaced = large.pop().expect("it was sent").await.unwrap();
    assert_eq!(
        displaced.map(|f| (f.reason, f.ran)),
        Some((Reason::Displaced, Ran::No))
    );
    assert!(
        Millis::now().since(began) < SHORTLY,
        "it was not told at once"
    );
    assert_eq!(pool.queued(), QUEUE_LIMIT);
    assert_eq!(pool.queued_by_rank().get(&0), Some(&QUEUE_LIMIT));
    drop(small);
}

/// Guards against a change for deployments without workspaces.
#[compio::test]
async fn a_full_queue_refuses_requests_without_a_workspace() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let pool = pool(&listener);
    let waiting = send(&pool, None, 1 + QUEUE_LIMIT);
    wait_shortly().await;
    let mut refused = send(&pool, None, 1);
    let failure = refused.pop().expect("it was sent").await.unwrap();
    assert_eq!(
        failure.map(|f| (f.reason, f.ran)),
        Some((Reason::Overloaded, Ran::No))
    );
    drop(waiting);
}
