//! Which crashes quarantine a request.

use clock::Millis;
use rstest::rstest;
use upstreams::{Death, Suspects, Verdict};

const REQUEST: u64 = 7;
const NOW: Millis = Millis(100_000);

fn death(upstream: &str, domain: &str, alone: bool) -> Death {
    Death {
        upstream: upstream.to_owned(),
        domain: domain.to_owned(),
        alone,
        at: NOW,
    }
}

fn is_quarantined(suspects: &Suspects) -> bool {
    matches!(suspects.verdict(REQUEST, NOW), Verdict::Quarantined { .. })
}

#[rstest]
#[case::one_upstream(&[("u1", "a", true)], false)]
#[case::one_upstream_told_twice(&[("u1", "a", false), ("u1", "a", true)], false)]
#[case::a_failure_domain_is_lost(&[("u1", "a", false), ("u2", "a", false), ("u3", "a", false)], false)]
#[case::two_failure_domains(&[("u1", "a", false), ("u2", "b", false)], true)]
#[case::a_second_time_without_other_suspects(&[("u1", "a", false), ("u2", "a", true)], true)]
fn deaths_decide(#[case] deaths: &[(&str, &str, bool)], #[case] expected: bool) {
    let suspects = Suspects::default();
    for (upstream, domain, alone) in deaths {
        suspects.strike(REQUEST, death(upstream, domain, *alone));
    }
    assert_eq!(is_quarantined(&suspects), expected);
    let peer = Suspects::default();
    peer.absorb(&suspects.collect(NOW), NOW);
    assert_eq!(is_quarantined(&peer), expected, "a peer decides alike");
}

#[test]
fn a_run_without_a_crash_clears_a_suspect() {
    let suspects = Suspects::default();
    suspects.strike(REQUEST, death("u1", "a", false));
    suspects.clear(REQUEST, NOW);
    assert_eq!(suspects.verdict(REQUEST, NOW), Verdict::Clear);
}

#[test]
fn peers_learn_that_a_suspect_was_cleared() {
    let (owner, peer) = (Suspects::default(), Suspects::default());
    owner.strike(REQUEST, death("u1", "a", false));
    peer.absorb(&owner.collect(NOW), NOW);
    owner.clear(REQUEST, NOW);
    let later = Millis(NOW.0 + 1);
    owner.strike(
        REQUEST,
        Death {
            at: later,
            ..death("u2", "b", false)
        },
    );
    peer.absorb(&owner.collect(later), later);
    assert_eq!(peer.verdict(REQUEST, later), Verdict::Suspect);
}
