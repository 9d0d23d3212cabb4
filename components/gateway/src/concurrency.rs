//! An adaptive limit on the concurrent requests of a route. When the upstreams
//! or this daemon are overloaded and requests miss their objective, the limit
//! decreases: the admitted requests meet the objective, and the others are
//! refused at once and can retry. No I/O.

use clock::Millis;

/// Minimum limit; the requests that it admits are needed to detect the end of an
/// overload.
const MIN_LIMIT: f64 = 2.0;
/// Limit of a route without a history.
const INITIAL_LIMIT: f64 = 64.0;
const MAX_LIMIT: f64 = 256.0;
/// Factor that is applied to the current concurrency to get a lower limit when a
/// request is not served at all.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of requests that may miss the objective without a decrease.
const MAX_MISS_SHARE: f64 = 0.3;
/// Target latency as a share of the objective, so that requests slower than the
/// average still meet the objective.
const TARGET_LATENCY_SHARE: f64 = 0.7;
/// Weight of one request in the moving average of misses.
const MISS_WEIGHT: f64 = 0.1;

/// An adaptive concurrency limit for one route.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    running: usize,
    miss_share: f64,
    decreased_at: Millis,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            running: 0,
            miss_share: 0.0,
            decreased_at: Millis::ZERO,
        }
    }
}

impl ConcurrencyLimiter {
    /// Admits a request; `false` refuses it.
    pub fn admit(&mut self) -> bool {
        self.admit_above(0.0)
    }

    /// Admits a request up to the limit and the given part of it above; `false` refuses
    /// it.
    pub fn admit_above(&mut self, part: f64) -> bool {
        let limit = self.limit.max(MIN_LIMIT) * (1.0 + part);
        let is_admitted = (self.running as f64) < limit;
        if is_admitted {
            self.running += 1;
        }
        is_admitted
    }

    /// Records the latency of an admitted request, or `None` if it was not
    /// served. A decrease takes `objective` to have an effect, so two decreases
    /// are at least that far apart.
    pub fn finish(&mut self, served_after: Option<Millis>, objective: Millis, now: Millis) {
        let running = self.running as f64;
        self.running = self.running.saturating_sub(1);
        let is_in_time = served_after.is_some_and(|elapsed| elapsed <= objective);
        let missed = f64::from(u8::from(!is_in_time));
        self.miss_share += MISS_WEIGHT * (missed - self.miss_share);
        let target = objective.0 as f64 * TARGET_LATENCY_SHARE;
        let is_overloaded = self.miss_share > MAX_MISS_SHARE;
        let can_decrease = now.since(self.decreased_at) >= objective;
        match served_after {
            // With less than half of the limit in use, the latency is no evidence
            // for a higher limit.
            Some(elapsed)
                if elapsed.0 as f64 <= target && !is_overloaded && running >= self.limit / 2.0 =>
            {
                self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(MAX_LIMIT);
            }
            _ if is_in_time || !is_overloaded || !can_decrease => {}
            // Latency is proportional to concurrency, so concurrency is scaled
            // by the ratio of target to latency.
            Some(elapsed) => {
                self.decrease(running * target / elapsed.0 as f64, now);
            }
            None => self.decrease(running * DECREASE_FACTOR, now),
        }
    }

    fn decrease(&mut self, limit: f64, now: Millis) {
        self.limit = self.limit.min(limit).max(MIN_LIMIT);
        self.decreased_at = now;
    }

    /// Ends an admitted request without an effect on the limit.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
