//! For how long nothing is sent to an upstream that asked for it.

use clock::Millis;
use rstest::rstest;
use upstreams::Backoffs;

const NOW: Millis = Millis(100_000);
const UPSTREAM: &str = "s/u1@7";

#[rstest]
#[case::longer(1_000, 3_000, 3_000)]
#[case::shorter(3_000, 1_000, 2_900)]
#[case::bounded(1_000, u64::MAX, 600_000)]
fn a_backoff_is_extended_and_never_shortened(
    #[case] first: u64,
    #[case] second: u64,
    #[case] left: u64,
) {
    let backoffs = Backoffs::default();
    assert!(backoffs.record(UPSTREAM, Millis(first), NOW));
    let later = NOW + Millis(100);
    let is_extended = backoffs.record(UPSTREAM, Millis(second), later);
    assert_eq!(is_extended, second > first);
    assert_eq!(backoffs.time_left(UPSTREAM, later), Millis(left));
}

#[test]
fn a_backoff_ends_and_applies_to_one_process() {
    let backoffs = Backoffs::default();
    backoffs.record(UPSTREAM, Millis(500), NOW);
    assert_eq!(backoffs.time_left("s/u1@8", NOW), Millis::ZERO);
    assert_eq!(
        backoffs.time_left(UPSTREAM, NOW + Millis(500)),
        Millis::ZERO
    );
}
