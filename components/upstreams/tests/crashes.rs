//! Which crashes quarantine a request.

use clock::Millis;
use rstest::rstest;
use upstreams::{Crash, CrashStatus, CrashTable};

const REQUEST: u64 = 7;
const NOW: Millis = Millis(100_000);

fn death(upstream: &str, domain: &str, alone: bool) -> Crash {
    Crash {
        upstream: upstream.to_owned(),
        domain: domain.to_owned(),
        alone,
        at: NOW,
    }
}

fn is_quarantined(suspects: &CrashTable) -> bool {
    matches!(
        suspects.status(REQUEST, NOW),
        CrashStatus::Quarantined { .. }
    )
}

#[rstest]
#[case::one_upstream(&[("u1", "a", true)], false)]
#[case::one_upstream_told_twice(&[("u1", "a", false), ("u1", "a", true)], false)]
#[case::a_failure_domain_is_lost(&[("u1", "a", false), ("u2", "a", false), ("u3", "a", false)], false)]
#[case::two_failure_domains(&[("u1", "a", false), ("u2", "b", false)], true)]
#[case::a_second_time_without_other_suspects(&[("u1", "a", false), ("u2", "a", true)], true)]
fn deaths_decide(#[case] deaths: &[(&str, &str, bool)], #[case] expected: bool) {
    let suspects = CrashTable::default();
    for (upstream, domain, alone) in deaths {
        suspects.record(REQUEST, death(upstream, domain, *alone));
    }
    assert_eq!(is_quarantined(&suspects), expected);
    let peer = CrashTable::default();
    peer.merge(&suspects.collect(NOW), NOW);
    assert_eq!(is_quarantined(&peer), expected, "a peer decides alike");
}

#[test]
fn a_run_without_a_crash_clears_a_suspect() {
    let suspects = CrashTable::default();
    suspects.record(REQUEST, death("u1", "a", false));
    suspects.clear(REQUEST, NOW);
    assert_eq!(suspects.status(REQUEST, NOW), CrashStatus::Clear);
}

#[test]
fn peers_learn_that_a_suspect_was_cleared() {
    let (owner, peer) = (CrashTable::default(), CrashTable::default());
    owner.record(REQUEST, death("u1", "a", false));
    peer.merge(&owner.collect(NOW), NOW);
    owner.clear(REQUEST, NOW);
    let later = Millis(NOW.0 + 1);
    owner.record(
        REQUEST,
        Crash {
            at: later,
            ..death("u2", "b", false)
        },
    );
    peer.merge(&owner.collect(later), later);
    assert_eq!(peer.status(REQUEST, later), CrashStatus::Suspect);
}
