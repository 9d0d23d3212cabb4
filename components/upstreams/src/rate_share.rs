//! A daemon's share of the rate of requests that an upstream takes from all daemons
//! together. No I/O.

use clock::Millis;

/// The burst for a limit over windows of several seconds.
const LONG_WINDOW_BURST: Burst = Burst {
    seconds: 1.25,
    requests: 0.5,
    whole_seconds: 2.0,
    whole_requests: 4.0,
};
/// Lowest rate, in requests a second, so that the end of a limit of 0 is noticed.
const MIN_PER_SECOND: f64 = 0.05;
/// Part of the limit that is used by chance, as more than the mean may be sent.
const CHANCE_RATE: f64 = 0.8;
const MS_PER_S: f64 = 1_000.0;

/// What all daemons together may send at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    /// They may send what the limit allows in this many seconds, and `requests`.
    pub seconds: f64,
    /// Requests beyond what the limit allows in `seconds`.
    pub requests: f64,
    /// Each daemon may hold a whole token if there are at most as many daemons as the
    /// limit allows requests in this many seconds, and `whole_requests`.
    pub whole_seconds: f64,
    /// Daemons beyond what the limit allows in `whole_seconds`.
    pub whole_requests: f64,
}

/// A token bucket for an equal share of a limit, so that all daemons together keep it
/// without an exchange of messages.
///
/// A share that can't hold a whole token gives one with the probability of what it
/// holds, and is empty afterwards: many daemons with a part of a token each send, on
/// average, what all parts add up to.
#[derive(Clone, Debug)]
pub struct RateShare {
    rule: Burst,
    per_ms: f64,
    /// Most tokens that it holds.
    burst: f64,
    tokens: f64,
    filled_at: Millis,
}

impl RateShare {
    /// Returns the share of one of `daemons` daemons, without tokens, for a limit over
    /// windows of several seconds.
    pub fn new(per_second: f64, daemons: usize, now: Millis) -> Self {
        Self::with_burst(per_second, daemons, LONG_WINDOW_BURST, now)
    }

    /// Returns a share as [`RateShare::new`] does, with another burst.
    pub fn with_burst(per_second: f64, daemons: usize, rule: Burst, now: Millis) -> Self {
        let mut share = Self {
            rule,
            per_ms: 0.0,
            burst: 0.0,
            tokens: 0.0,
            filled_at: now,
        };
        share.set(per_second, daemons, now);
        share
    }

    /// Changes the burst from the next call of [`RateShare::set`] on.
    pub fn set_burst(&mut self, rule: Burst) {
        self.rule = rule;
    }

    /// Changes the limit or the number of daemons.
    pub fn set(&mut self, per_second: f64, daemons: usize, now: Millis) {
        self.set_part(per_second, daemons as f64, now);
    }

    /// Changes the limit or the number of daemons with shares like this one.
    pub(crate) fn set_part(&mut self, per_second: f64, daemons: f64, now: Millis) {
        let tokens = self.tokens(now);
        let (per_second, daemons) = (per_second.max(MIN_PER_SECOND), daemons.max(1.0));
        let rule = self.rule;
        let burst = (per_second * rule.seconds + rule.requests) / daemons;
        self.burst = match daemons <= per_second * rule.whole_seconds + rule.whole_requests {
            true => burst.max(1.0),
            false => burst,
        };
        let used = match self.is_partial() {
            true => CHANCE_RATE,
            false => 1.0,
        };
        self.per_ms = per_second * used / daemons / MS_PER_S;
        self.tokens = tokens.min(self.burst);
        self.filled_at = now;
    }

    /// Returns the rate of this share, in requests per millisecond.
    pub fn per_ms(&self) -> f64 {
        self.per_ms
    }

    /// Returns the time until a request may be sent, zero if it may be now; `None` if
    /// its `draw`, a random number from 0 to 1, got no part of a token.
    pub fn wait(&self, draw: f64, now: Millis) -> Option<Millis> {
        let tokens = self.tokens(now);
        match self.is_partial() {
            true => (draw < tokens).then_some(Millis::ZERO),
            false => {
                let missing = (1.0 - tokens).max(0.0);
                Some(Millis((missing / self.per_ms).ceil() as u64))
            }
        }
    }

    /// Takes the token of a request that is sent.
    pub fn spend(&mut self, now: Millis) {
        self.tokens = match self.is_partial() {
            true => 0.0,
            false => self.tokens(now) - 1.0,
        };
        self.filled_at = now;
    }

    /// Returns the whole token of a request that was sent but does not count.
    pub fn give_back(&mut self, now: Millis) {
        self.tokens = (self.tokens(now) + 1.0).min(self.burst);
        self.filled_at = now;
    }

    /// Records that a request was not sent here because of its draw.
    pub fn miss(&mut self, now: Millis) {
        if self.is_partial() {
            self.spend(now);
        }
    }

    /// Whether the share can't hold a whole token.
    pub(crate) fn is_partial(&self) -> bool {
        self.burst < 1.0
    }

    fn tokens(&self, now: Millis) -> f64 {
        let earned = now.since(self.filled_at).0 as f64 * self.per_ms;
        (self.tokens + earned).min(self.burst)
    }
}
