//! Admission of workspaces at the adaptive limit of a route, and when those that were
//! refused come back.

use std::collections::HashSet;
use std::rc::Rc;

use clock::Millis;
use gateway::{ConcurrencyLimiter, WorkspaceShares, spread_retry_after};
use rstest::rstest;

const NOW: Millis = Millis(5_000);

/// A route whose limit one workspace has filled.
struct Filled {
    limiter: ConcurrencyLimiter,
    shares: WorkspaceShares,
    limit: usize,
    large: Rc<str>,
}

fn filled() -> Filled {
    let mut limiter = ConcurrencyLimiter::default();
    let mut shares = WorkspaceShares::default();
    let limit = limiter.limit() as usize;
    let large: Rc<str> = Rc::from("large");
    for _ in 0..limit {
        assert!(shares.admit(&mut limiter, &large, NOW));
    }
    Filled {
        limiter,
        shares,
        limit,
        large,
    }
}

/// Guards against a workspace that fills the limit and keeps the others out.
#[test]
fn at_the_limit_others_are_admitted_up_to_their_share() {
    let Filled {
        mut limiter,
        mut shares,
        limit,
        large,
    } = filled();
    assert!(!shares.admit(&mut limiter, &large, NOW));
    let others: Vec<Rc<str>> = (0..5).map(|n| Rc::from(format!("w{n}"))).collect();
    let mut admitted = 0;
    for _ in 0..limit {
        let more = others
            .iter()
            .filter(|w| shares.admit(&mut limiter, w, NOW))
            .count();
        assert!(admitted > 0 || more == others.len(), "all of the others");
        admitted += more;
    }
    assert_eq!(admitted, limit / 4, "a quarter above the limit");
    assert_eq!(shares.count(NOW), 6);
}

/// Guards against a share that counts workspaces which sent nothing for long, and against
/// one that forgets those that were refused.
#[test]
fn a_share_counts_the_workspaces_of_the_last_second() {
    let Filled {
        mut limiter,
        mut shares,
        limit,
        large,
    } = filled();
    let small: Rc<str> = Rc::from("small");
    let admitted = (0..limit).filter(|_| shares.admit(&mut limiter, &small, NOW));
    assert_eq!(admitted.count(), limit / 4);
    (0..limit / 4).for_each(|_| shares.end(&small));
    assert_eq!(shares.count(NOW), 2, "it was refused just before");
    assert_eq!(shares.count(NOW + Millis(1_000)), 1);
    (0..limit).for_each(|_| shares.end(&large));
    assert_eq!(shares.count(NOW + Millis(1_000)), 0);
}

/// Guards against callers with the same time left that all come back at the same time.
#[rstest]
#[case::short_wait(Millis(30), Millis(900), 30, 60)]
#[case::more_than_the_time_allows(Millis(400), Millis(300), 50, 100)]
#[case::no_time(Millis(400), Millis(0), 20, 40)]
fn refused_callers_are_spread(
    #[case] wait: Millis,
    #[case] left: Millis,
    #[case] first_ms: u64,
    #[case] last_ms: u64,
) {
    let delays = (0..=10).map(|n| spread_retry_after(wait, left, f64::from(n) / 10.0).0);
    let delays: Vec<u64> = delays.collect();
    assert_eq!((delays[0], delays[10]), (first_ms, last_ms));
    assert_eq!(delays.iter().collect::<HashSet<_>>().len(), 11);
}
