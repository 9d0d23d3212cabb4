//! The delay after which refused callers should retry.

use clock::Millis;

/// Minimum delay; a caller that retries sooner would meet the same queue.
const MIN_RETRY_AFTER: Millis = Millis(20);
/// Callers follow a Retry-After of up to a third of their remaining time.
const REMAINING_TIME_DIVISOR: u64 = 3;

/// Returns the delay after which a refused caller should retry: the expected
/// wait, extended by the jitter `spread` (0 to 1) so that callers refused
/// together do not retry together, but at most a third of the remaining time
/// `left` (or the minimum delay) so that the retry can still be served.
pub fn retry_after(wait: Millis, left: Millis, spread: f64) -> Millis {
    let base = wait.max(MIN_RETRY_AFTER);
    let after_ms = (base.0 as f64 * (1.0 + spread)).ceil() as u64;
    let latest = (left.0 / REMAINING_TIME_DIVISOR).max(MIN_RETRY_AFTER.0);
    Millis(after_ms.min(latest))
}

/// Returns the delay after which a refused caller of a workspace should retry: between
/// the expected wait and twice that, by `spread` (0 to 1). Where the remaining time `left`
/// does not allow so much, it is between half of what the time allows and all of it: a
/// workspace far beyond its share has many callers with the same time left, and a single
/// latest delay would bring them back together.
pub fn spread_retry_after(wait: Millis, left: Millis, spread: f64) -> Millis {
    let latest = (left.0 / REMAINING_TIME_DIVISOR).max(2 * MIN_RETRY_AFTER.0);
    let base_ms = wait.max(MIN_RETRY_AFTER).0.min(latest / 2);
    Millis((base_ms as f64 * (1.0 + spread)).ceil() as u64)
}
