//! How soon the average shows that an upstream is slow, and how it returns to
//! the pool's mean.

use clock::Millis;
use rstest::rstest;
use upstreams::UpstreamLatency;

const POOL_MEAN_MS: f64 = 10.0;
const START: Millis = Millis(100_000);

/// Returns a latency after 20 answers that took 10 ms, one each `gap`, and the
/// time of the last.
fn steady(gap: Millis) -> (UpstreamLatency, Millis) {
    let mut latency = UpstreamLatency::default();
    let mut now = START;
    for _ in 0..20 {
        now = now + gap;
        latency.record(Millis(10), POOL_MEAN_MS, now);
    }
    (latency, now)
}

#[rstest]
#[case::few_requests(Millis(1_400), 2)]
#[case::many_requests(Millis(20), 8)]
fn a_slow_upstream_is_detected_after_few_answers(#[case] gap: Millis, #[case] answers: usize) {
    let (mut latency, mut now) = steady(gap);
    for _ in 0..answers {
        now = now + gap;
        latency.record(Millis(50), POOL_MEAN_MS, now);
    }
    let mean = latency.mean_ms(POOL_MEAN_MS, now);
    assert!(mean > 2.0 * POOL_MEAN_MS, "{mean}");
}

#[test]
fn a_cancelled_request_counts_only_if_it_took_longer_than_the_average() {
    let (mut latency, now) = steady(Millis(1_000));
    let now = now + Millis(1_000);
    latency.record_cancelled(Millis(60), POOL_MEAN_MS, now);
    let mean = latency.mean_ms(POOL_MEAN_MS, now);
    assert!(mean > 2.0 * POOL_MEAN_MS, "{mean}");
    latency.record_cancelled(Millis(1), POOL_MEAN_MS, now);
    assert!((latency.mean_ms(POOL_MEAN_MS, now) - mean).abs() < 0.1);
}

#[test]
fn the_average_returns_to_the_pool_mean_without_answers() {
    let mut latency = UpstreamLatency::default();
    assert!((latency.mean_ms(POOL_MEAN_MS, START) - POOL_MEAN_MS).abs() < 0.1);
    latency.record(Millis(200), POOL_MEAN_MS, START);
    assert!(latency.mean_ms(POOL_MEAN_MS, START) > 5.0 * POOL_MEAN_MS);
    let later = START + Millis(15_000);
    assert!(latency.mean_ms(POOL_MEAN_MS, later) < 1.5 * POOL_MEAN_MS);
}
