//! Requests while the failure domain of upstreams is evacuated: nothing is sent there,
//! whatever waits for it, and it is used again afterwards.

use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use clock::Millis;
use futures_util::future::join;
use rstest::rstest;
use upstreams::{
    Call, ColdPeriod, Endpoint, LinkCheck, Pool, PoolConfig, Ran, Reason, RetryPolicy,
};

#[path = "support/silent.rs"]
mod silent;
#[path = "support/test_pool.rs"]
mod test_pool;
#[path = "support/unanswered.rs"]
mod unanswered;

use silent::silent;
use test_pool::{AllUpstreams, empty_pool};
use unanswered::call_once;

const TIMEOUT: Millis = Millis(400);
/// Before the first hedge is due, after a quarter of [`TIMEOUT`].
const CHANGE_AT: Duration = Duration::from_millis(40);
/// A request that can't be served is refused within this time of the evacuation.
const REFUSAL_TIME: Millis = Millis(50);

fn endpoint(id: &str, domain: &str, listener: &TcpListener) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        address: listener.local_addr().unwrap(),
        domain: domain.to_owned(),
        started_at: Some(Millis(7)),
        slots: 1,
        connections: 1,
        is_drained: false,
        is_evacuated: false,
        cold: None,
    }
}

fn evacuated(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        is_evacuated: true,
        ..endpoint
    }
}

/// Accepts the waiting connections, which stay open until they are dropped.
fn accept_all(listener: &TcpListener) -> Vec<TcpStream> {
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted.map(|(stream, _)| stream).collect()
}

fn arrivals(listener: &TcpListener) -> usize {
    accept_all(listener).len()
}

fn patient_call(fingerprint: u64, attempts: usize, hedge_within: Option<Millis>) -> Call {
    let policy = RetryPolicy {
        attempts,
        hedge_percent: 100,
        retry_percent: 100,
        awaits_replicas: false,
        hedge_within,
    };
    Call {
        policy,
        ..call_once(fingerprint, TIMEOUT)
    }
}

async fn fetch(pool: &Rc<Pool>, call: Call) -> upstreams::Failure {
    let result = pool.fetch(&AllUpstreams(pool.clone()), &call).await;
    result.expect_err("nothing answers")
}

#[compio::test]
async fn nothing_is_sent_to_an_evacuated_domain_not_even_a_check_of_the_links() {
    let (left, stays) = (silent(), silent());
    let pool = empty_pool(PoolConfig::default());
    let (first, second) = (endpoint("u1", "a", &left), endpoint("u2", "b", &stays));
    pool.install(&[evacuated(first.clone()), second.clone()]);
    for fingerprint in 0..4 {
        fetch(&pool, call_once(fingerprint, Millis(30))).await;
    }
    let check = pool.shared().check_links().await;
    assert_eq!(check, LinkCheck::Reachable);
    assert_eq!(arrivals(&left), 0);
    assert!(arrivals(&stays) > 0);
    pool.install(&[evacuated(first), evacuated(second)]);
    assert_eq!(pool.shared().check_links().await, LinkCheck::Unknown);
    let began = Millis::now();
    let failure = fetch(&pool, call_once(9, TIMEOUT)).await;
    assert_eq!((failure.reason, failure.ran), (Reason::NoReplica, Ran::No));
    assert!(Millis::now().since(began) < REFUSAL_TIME);
}

/// The only slot of the domain is taken, so that a second request waits for it.
#[rstest]
#[case::refused_if_no_upstream_is_left(false, Reason::NoReplica, Ran::No)]
#[case::moves_to_another_upstream(true, Reason::Timeout, Ran::Unknown)]
#[compio::test]
async fn a_queued_request_does_not_wait_for_an_evacuated_domain(
    #[case] has_other: bool,
    #[case] reason: Reason,
    #[case] ran: Ran,
) {
    let (left, stays) = (silent(), silent());
    let pool = empty_pool(PoolConfig::default());
    let first = endpoint("u1", "a", &left);
    pool.install(std::slice::from_ref(&first));
    let running = fetch(&pool, call_once(1, TIMEOUT));
    let queued = async {
        let failure = fetch(&pool, call_once(2, TIMEOUT)).await;
        (failure, Millis::now())
    };
    let change = async {
        compio::time::sleep(CHANGE_AT).await;
        let mut endpoints = vec![evacuated(first.clone())];
        if has_other {
            endpoints.push(endpoint("u2", "b", &stays));
        }
        pool.install(&endpoints);
        Millis::now()
    };
    let (running, (queued, evacuated_at)) = join(running, join(queued, change)).await;
    let (failure, failed_at) = queued;
    assert_eq!(running.ran, Ran::Unknown, "it may finish there");
    assert_eq!((failure.reason, failure.ran), (reason, ran));
    assert!(ran != Ran::No || failed_at.since(evacuated_at) < REFUSAL_TIME);
    assert_eq!(arrivals(&left), 1, "only the one that ran");
    assert_eq!(arrivals(&stays), usize::from(has_other));
}

/// The hedge becomes due after the evacuation of the only other upstream.
#[rstest]
#[case::evacuated(true, 0)]
#[case::not_evacuated(false, 1)]
#[compio::test]
async fn a_hedge_is_not_sent_to_an_evacuated_domain(
    #[case] is_evacuated: bool,
    #[case] expected: usize,
) {
    let listeners = [silent(), silent()];
    let pool = empty_pool(PoolConfig::default());
    let both = |is_evacuated: [bool; 2]| -> Vec<Endpoint> {
        let domains = [("u1", "a"), ("u2", "b")];
        let each = domains.iter().zip(&listeners).zip(is_evacuated);
        each.map(|(((id, domain), listener), is_evacuated)| Endpoint {
            is_evacuated,
            ..endpoint(id, domain, listener)
        })
        .collect()
    };
    pool.install(&both([false, false]));
    let call = patient_call(1, 2, Some(Millis(200)));
    let change = async {
        compio::time::sleep(CHANGE_AT).await;
        let open = [accept_all(&listeners[0]), accept_all(&listeners[1])];
        let used = [open[0].len(), open[1].len()];
        pool.install(&both(used.map(|n| n == 0 && is_evacuated)));
        (open, used)
    };
    let (_, (_open, used)) = join(fetch(&pool, call), change).await;
    assert_eq!(used.iter().sum::<usize>(), 1);
    let later = arrivals(&listeners[0]) + arrivals(&listeners[1]);
    assert_eq!(later, expected, "hedges");
}

/// The first upstream closes the connection after the evacuation of the second.
#[rstest]
#[case::evacuated(true, 0)]
#[case::not_evacuated(false, 1)]
#[compio::test]
async fn a_retry_is_not_sent_to_an_evacuated_domain(
    #[case] is_evacuated: bool,
    #[case] expected: usize,
) {
    let (fails, left) = (silent(), silent());
    let pool = empty_pool(PoolConfig::default());
    let (first, second) = (endpoint("u1", "a", &fails), endpoint("u2", "b", &left));
    pool.install(std::slice::from_ref(&first));
    let change = async {
        compio::time::sleep(CHANGE_AT).await;
        let second = Endpoint {
            is_evacuated,
            ..second
        };
        pool.install(&[first.clone(), second]);
        drop(fails.accept().unwrap());
    };
    let call = patient_call(1, 3, None);
    let (failure, ()) = join(fetch(&pool, call), change).await;
    assert_eq!(failure.ran, Ran::Unknown);
    assert_eq!(arrivals(&left), expected);
}

/// The processes of a domain may have been replaced while it was evacuated.
#[compio::test]
async fn a_domain_that_returns_cold_gets_its_share_and_the_rest_is_refused_at_once() {
    let returned = silent();
    let pool = empty_pool(PoolConfig::default());
    let known = endpoint("u1", "a", &returned);
    pool.install(&[evacuated(known.clone())]);
    let now = Millis::since_boot();
    pool.install(&[Endpoint {
        cold: Some(ColdPeriod {
            per_second: 2.0,
            until: now + Millis(10_000),
        }),
        ..known.clone()
    }]);
    // A new upstream gets one request at a time.
    let run = async |fingerprint| {
        let call = Call {
            rate_by: Millis::now() + REFUSAL_TIME,
            ..call_once(fingerprint, REFUSAL_TIME)
        };
        let began = Millis::now();
        let failure = fetch(&pool, call).await;
        (failure.reason, failure.ran, Millis::now().since(began))
    };
    let (reason, ran, elapsed) = run(1).await;
    assert_eq!((reason, ran), (Reason::RateLimited, Ran::No));
    assert!(elapsed < REFUSAL_TIME, "refused after {elapsed}");
    assert_eq!(arrivals(&returned), 0, "it holds no token yet");
    compio::time::sleep(Duration::from_millis(1_050)).await;
    let mut refused = 0;
    for fingerprint in 2..6 {
        let (reason, ran, elapsed) = run(fingerprint).await;
        if ran == Ran::No {
            refused += 1;
            assert_eq!(reason, Reason::RateLimited);
            assert!(elapsed < REFUSAL_TIME, "refused after {elapsed}");
        }
    }
    assert_eq!((arrivals(&returned), refused), (2, 2));
    // Once it is warm, all are sent.
    pool.install(&[known]);
    for fingerprint in 6..9 {
        run(fingerprint).await;
    }
    assert_eq!(arrivals(&returned), 3);
}
