//! Which crashes quarantine a request.

use clock::Millis;
use rstest::rstest;
use upstreams::{Crash, CrashStatus, CrashTable};

const REQUEST: u64 = 7;
const NOW: Millis = Millis(100_000);

fn crash(upstream: &str, domain: &str, alone: bool) -> Crash {
    Crash {
        upstream: upstream.to_owned(),
        domain: domain.to_owned(),
        alone,
        at: NOW,
    }
}

fn is_quarantined(table: &CrashTable) -> bool {
    matches!(table.status(REQUEST, NOW), CrashStatus::Quarantined { .. })
}

#[rstest]
#[case::one_upstream(&[("u1", "a", true)], false)]
#[case::one_upstream_reported_twice(&[("u1", "a", false), ("u1", "a", true)], false)]
#[case::one_failure_domain_lost(&[("u1", "a", false), ("u2", "a", false), ("u3", "a", false)], false)]
#[case::two_failure_domains(&[("u1", "a", false), ("u2", "b", false)], true)]
#[case::second_crash_without_other_suspects(&[("u1", "a", false), ("u2", "a", true)], true)]
fn crashes_in_two_domains_or_alone_quarantine(
    #[case] crashes: &[(&str, &str, bool)],
    #[case] expected: bool,
) {
    let table = CrashTable::default();
    for (upstream, domain, alone) in crashes {
        table.record(REQUEST, crash(upstream, domain, *alone));
    }
    assert_eq!(is_quarantined(&table), expected);
    let peer = CrashTable::default();
    peer.merge(&table.collect(NOW), NOW);
    assert_eq!(
        is_quarantined(&peer),
        expected,
        "a peer reaches the same result"
    );
}

#[test]
fn a_run_without_a_crash_clears_a_suspect() {
    let table = CrashTable::default();
    table.record(REQUEST, crash("u1", "a", false));
    table.clear(REQUEST, NOW);
    assert_eq!(table.status(REQUEST, NOW), CrashStatus::Clear);
}

#[test]
fn a_peer_merges_that_a_suspect_was_cleared() {
    let (owner, peer) = (CrashTable::default(), CrashTable::default());
    owner.record(REQUEST, crash("u1", "a", false));
    peer.merge(&owner.collect(NOW), NOW);
    owner.clear(REQUEST, NOW);
    let later = Millis(NOW.0 + 1);
    owner.record(
        REQUEST,
        Crash {
            at: later,
            ..crash("u2", "b", false)
        },
    );
    peer.merge(&owner.collect(later), later);
    assert_eq!(peer.status(REQUEST, later), CrashStatus::Suspect);
}
