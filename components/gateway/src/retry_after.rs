//! When refused callers should come back.

use clock::Millis;

/// Below this a caller would meet the same queue.
const SHORTEST: Millis = Millis(20);
/// Callers use a hint of up to a third of the time they have left.
const SHARE_OF_BUDGET: u64 = 3;

/// Returns when a refused caller should come back: after the expected wait,
/// spread by `spread` (0 to 1) so that those who were refused together don't
/// return together, and early enough to be served in `left`.
pub fn retry_after(wait: Millis, left: Millis, spread: f64) -> Millis {
    let base = wait.max(SHORTEST);
    let spread_ms = (base.0 as f64 * (1.0 + spread)).ceil() as u64;
    let latest = (left.0 / SHARE_OF_BUDGET).max(SHORTEST.0);
    Millis(spread_ms.min(latest))
}
