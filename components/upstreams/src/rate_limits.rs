//! The rates of requests that upstreams take from all daemons together, as their
//! answers name them, and this daemon's shares of them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use clock::Millis;

use crate::rate_share::RateShare;

/// A limit is forgotten this long after the last answer that named it.
const RETENTION: Millis = Millis(600_000);

/// The rate that one upstream named.
#[derive(Debug)]
struct RateLimit {
    per_second: f64,
    named_at: Millis,
    share: RateShare,
    /// Requests that this daemon has sent since the upstream first named a limit.
    sends: u64,
}

/// A limit that an upstream named no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedLimit {
    /// The limit, in requests a second.
    pub per_second: f64,
    /// Requests that this daemon sent while the limit was known.
    pub sends: u64,
}

/// The limits by process of the upstream as in
/// [`Crash::upstream`](crate::Crash::upstream).
#[derive(Debug)]
pub struct RateLimits {
    by_upstream: RefCell<HashMap<String, RateLimit>>,
    daemons: Cell<usize>,
}

impl Default for RateLimits {
    fn default() -> Self {
        Self {
            by_upstream: RefCell::default(),
            daemons: Cell::new(1),
        }
    }
}

impl RateLimits {
    /// Whether no upstream named a limit lately.
    pub fn is_empty(&self) -> bool {
        self.by_upstream.borrow().is_empty()
    }

    /// Returns the number of upstreams with a limit.
    pub fn len(&self) -> usize {
        self.by_upstream.borrow().len()
    }

    /// Returns the limit of an upstream, in requests a second.
    pub fn per_second(&self, upstream: &str) -> Option<f64> {
        let all = self.by_upstream.borrow();
        all.get(upstream).map(|limit| limit.per_second)
    }

    /// Sets the number of daemons that share each limit.
    pub fn set_daemons(&self, daemons: usize, now: Millis) {
        self.daemons.set(daemons);
        for limit in self.by_upstream.borrow_mut().values_mut() {
            limit.share.set(limit.per_second, daemons, now);
        }
    }

    /// Records that an upstream named a limit; `true` if it named none or another one
    /// before.
    pub fn record(&self, upstream: &str, per_second: f64, now: Millis) -> bool {
        let mut all = self.by_upstream.borrow_mut();
        all.retain(|_, limit| now.since(limit.named_at) < RETENTION);
        let daemons = self.daemons.get();
        let known = all.get(upstream).map(|limit| limit.per_second);
        let limit = all.entry(upstream.to_owned()).or_insert_with(|| RateLimit {
            per_second,
            named_at: now,
            share: RateShare::new(per_second, daemons, now),
            sends: 0,
        });
        limit.named_at = now;
        let is_changed = known != Some(per_second);
        if is_changed {
            limit.per_second = per_second;
            limit.share.set(per_second, daemons, now);
        }
        is_changed
    }

    /// Ends the limit of an upstream whose answer names none, unless a limit was named
    /// after that request was sent, at `sent_at`.
    pub fn end(&self, upstream: &str, sent_at: Millis) -> Option<EndedLimit> {
        let mut all = self.by_upstream.borrow_mut();
        let is_later = all.get(upstream)?.named_at <= sent_at;
        let ended = is_later.then(|| all.remove(upstream))??;
        Some(EndedLimit {
            per_second: ended.per_second,
            sends: ended.sends,
        })
    }

    /// Returns the time until this daemon's share allows a request, as
    /// [`RateShare::wait`] does; zero without a limit.
    pub fn wait(&self, upstream: &str, draw: f64, now: Millis) -> Option<Millis> {
        match self.by_upstream.borrow().get(upstream) {
            Some(limit) => limit.share.wait(draw, now),
            None => Some(Millis::ZERO),
        }
    }

    /// Returns this daemon's share of a limit, in requests per millisecond.
    pub fn per_ms(&self, upstream: &str) -> Option<f64> {
        let all = self.by_upstream.borrow();
        all.get(upstream).map(|limit| limit.share.per_ms())
    }

    /// Takes this daemon's token for a request to an upstream, if that has a limit.
    pub fn spend(&self, upstream: &str, now: Millis) {
        if let Some(limit) = self.by_upstream.borrow_mut().get_mut(upstream) {
            limit.share.spend(now);
        }
    }

    /// Records that a request was not sent to an upstream because of its draw.
    pub(crate) fn miss(&self, upstream: &str, now: Millis) {
        if let Some(limit) = self.by_upstream.borrow_mut().get_mut(upstream) {
            limit.share.miss(now);
        }
    }

    /// Counts a request that is sent to an upstream; `true` if it has a limit.
    pub(crate) fn count(&self, upstream: &str) -> bool {
        let mut all = self.by_upstream.borrow_mut();
        let limit = all.get_mut(upstream);
        limit.map(|limit| limit.sends += 1).is_some()
    }
}
