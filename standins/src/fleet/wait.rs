//! Waiting for a condition.

use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within the time.
pub async fn wait_until(what: &str, timeout: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !holds().await {
        assert!(
            Instant::now() < end,
            "timed out after {timeout:?} waiting until {what}"
        );
        compio::time::sleep(POLL_INTERVAL).await;
    }
}
