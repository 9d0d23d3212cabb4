//! How soon a slow upstream is known as slow, and when it is tried again.

use clock::Millis;
use rstest::rstest;
use upstreams::UpstreamLatency;

const USUAL: f64 = 10.0;
const START: Millis = Millis(100_000);

/// A pace after answers that took 10 ms, one each `gap`.
fn steady(gap: Millis) -> (UpstreamLatency, Millis) {
    let mut pace = UpstreamLatency::default();
    let mut now = START;
    for _ in 0..20 {
        now = now + gap;
        pace.record(Millis(10), USUAL, now);
    }
    (pace, now)
}

#[rstest]
#[case::few_requests(Millis(1_400), 2)]
#[case::many_requests(Millis(20), 8)]
fn a_slow_upstream_is_known_after_few_answers(#[case] gap: Millis, #[case] answers: usize) {
    let (mut pace, mut now) = steady(gap);
    for _ in 0..answers {
        now = now + gap;
        pace.record(Millis(50), USUAL, now);
    }
    let mean = pace.mean_ms(USUAL, now);
    assert!(mean > 2.0 * USUAL, "{mean}");
}

#[test]
fn a_request_that_was_given_up_counts_as_at_least_its_time() {
    let (mut pace, now) = steady(Millis(1_000));
    let now = now + Millis(1_000);
    pace.record_cancelled(Millis(60), USUAL, now);
    let mean = pace.mean_ms(USUAL, now);
    assert!(mean > 2.0 * USUAL, "{mean}");
    pace.record_cancelled(Millis(1), USUAL, now);
    assert!((pace.mean_ms(USUAL, now) - mean).abs() < 0.1);
}

#[test]
fn what_was_learned_is_forgotten() {
    let mut pace = UpstreamLatency::default();
    assert!((pace.mean_ms(USUAL, START) - USUAL).abs() < 0.1);
    pace.record(Millis(200), USUAL, START);
    assert!(pace.mean_ms(USUAL, START) > 5.0 * USUAL);
    let later = START + Millis(15_000);
    assert!(pace.mean_ms(USUAL, later) < 1.5 * USUAL);
}
