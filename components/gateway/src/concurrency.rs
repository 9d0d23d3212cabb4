//! How many requests of a route run at a time. Answers the load that its
//! upstreams, or this daemon, can't carry: when requests miss their objective,
//! fewer are admitted, so that those that are admitted meet theirs and the
//! others are told at once to come back. No I/O.

use clock::Millis;

/// Requests that are admitted whatever happened before, so that better times
/// are noticed.
const FLOOR: f64 = 2.0;
/// What a new route admits.
const INITIAL: f64 = 64.0;
const CEILING: f64 = 256.0;
/// Share of the limit that is kept while too many are not served at all.
const DECREASE: f64 = 0.85;
/// Share of requests that may miss their objective without a decrease.
const MISSES: f64 = 0.3;
/// Share of the objective that the limit aims at, so that what is above it on
/// average still meets the objective.
const TARGET_SHARE: f64 = 0.7;
/// Weight of one request in the share of misses.
const WEIGHT: f64 = 0.1;

/// The limit of one route.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimiter {
    limit: f64,
    running: usize,
    misses: f64,
    decreased_at: Millis,
}

impl Default for ConcurrencyLimiter {
    fn default() -> Self {
        Self {
            limit: INITIAL,
            running: 0,
            misses: 0.0,
            decreased_at: Millis::ZERO,
        }
    }
}

impl ConcurrencyLimiter {
    /// Admits a request; `false` refuses it.
    pub fn admit(&mut self) -> bool {
        let is_admitted = (self.running as f64) < self.limit.max(FLOOR);
        if is_admitted {
            self.running += 1;
        }
        is_admitted
    }

    /// Notes how an admitted request ended: when it was served, or `None`. A
    /// decrease takes `objective` to show, so the next one comes no sooner.
    pub fn finish(&mut self, served_after: Option<Millis>, objective: Millis, now: Millis) {
        let running = self.running as f64;
        self.running = self.running.saturating_sub(1);
        let is_in_time = served_after.is_some_and(|elapsed| elapsed <= objective);
        let miss = f64::from(u8::from(!is_in_time));
        self.misses += WEIGHT * (miss - self.misses);
        let target = objective.0 as f64 * TARGET_SHARE;
        let is_overloaded = self.misses > MISSES;
        let is_settled = now.since(self.decreased_at) >= objective;
        match served_after {
            // What was not used up says nothing of a higher limit.
            Some(elapsed)
                if elapsed.0 as f64 <= target && !is_overloaded && running >= self.limit / 2.0 =>
            {
                self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(CEILING);
            }
            _ if is_in_time || !is_overloaded || !is_settled => {}
            // Latency grows with what runs at a time, so the objective is met
            // with as much less.
            Some(elapsed) => {
                self.decrease(running * target / elapsed.0 as f64, now);
            }
            None => self.decrease(running * DECREASE, now),
        }
    }

    fn decrease(&mut self, limit: f64, now: Millis) {
        self.limit = self.limit.min(limit).max(FLOOR);
        self.decreased_at = now;
    }

    /// Ends an admitted request whose caller left; it tells nothing.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// The limit in force.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
