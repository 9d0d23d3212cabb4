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
/// Share of the limit that is kept while too many miss their objective.
const DECREASE: f64 = 0.85;
/// Share of requests that may miss their objective without a decrease.
const MISSES: f64 = 0.3;
/// Weight of one request in the share of misses.
const WEIGHT: f64 = 0.1;

/// The limit of one route.
#[derive(Clone, Debug)]
pub struct Admission {
    limit: f64,
    running: usize,
    misses: f64,
    decreased_at: Millis,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: INITIAL,
            running: 0,
            misses: 0.0,
            decreased_at: Millis::ZERO,
        }
    }
}

impl Admission {
    /// Admits a request; `false` refuses it.
    pub fn admit(&mut self) -> bool {
        let is_admitted = (self.running as f64) < self.limit.max(FLOOR);
        if is_admitted {
            self.running += 1;
        }
        is_admitted
    }

    /// Notes how an admitted request ended. A decrease takes `objective` to
    /// show, so the next one comes no sooner.
    pub fn finish(&mut self, is_in_time: bool, objective: Millis, now: Millis) {
        let running = self.running as f64;
        self.running = self.running.saturating_sub(1);
        let miss = f64::from(u8::from(!is_in_time));
        self.misses += WEIGHT * (miss - self.misses);
        let is_overloaded = self.misses > MISSES;
        match is_in_time {
            // What was not used up says nothing of a higher limit.
            true if !is_overloaded && running >= self.limit / 2.0 => {
                self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(CEILING);
            }
            false if is_overloaded && now.since(self.decreased_at) >= objective => {
                self.limit = (self.limit.min(running) * DECREASE).max(FLOOR);
                self.decreased_at = now;
            }
            _ => {}
        }
    }

    /// Ends an admitted request whose caller left; it tells nothing.
    pub fn forget(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// How long a refused caller should stay away: until about as many
    /// requests have ended as run now.
    pub fn wait(&self, objective: Millis) -> Millis {
        objective
    }

    /// The limit in force.
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
