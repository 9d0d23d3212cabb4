//! The recent rate of a workspace's requests at one daemon.

use clock::Millis;

/// Requests count less with their age; after this time by a factor of e.
const MEMORY_MS: f64 = 2_000.0;
/// A workspace without a request for this long has no demand.
const IDLE_TIME: Millis = Millis(10_000);

/// A moving average of the rate of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    per_ms: f64,
    last: Option<Millis>,
}

impl Demand {
    /// Counts a request.
    pub(crate) fn record(&mut self, now: Millis) {
        self.per_ms = self.decayed(now) + 1.0 / MEMORY_MS;
        self.last = Some(now);
    }

    /// Returns the rate in requests per millisecond, zero if there was no request lately.
    pub(crate) fn per_ms(&self, now: Millis) -> f64 {
        match self.was_within(IDLE_TIME, now) {
            true => self.decayed(now),
            false => 0.0,
        }
    }

    /// Whether a request came within `time`.
    pub(crate) fn was_within(&self, time: Millis, now: Millis) -> bool {
        self.last.is_some_and(|last| now.since(last) < time)
    }

    fn decayed(&self, now: Millis) -> f64 {
        let age = now.since(self.last.unwrap_or(now));
        self.per_ms * (-(age.0 as f64) / MEMORY_MS).exp()
    }
}
