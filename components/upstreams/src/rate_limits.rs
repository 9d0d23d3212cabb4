//! The rates of requests that upstreams take from all daemons together, as their
//! answers name them.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;

/// A limit is forgotten this long after the last answer that named it.
const RETENTION: Millis = Millis(600_000);

/// The rate that one upstream named.
#[derive(Debug)]
struct RateLimit {
    per_second: f64,
    named_at: Millis,
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
#[derive(Debug, Default)]
pub struct RateLimits {
    by_upstream: RefCell<HashMap<String, RateLimit>>,
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

    /// Records that an upstream named a limit; `true` if it named none or another one
    /// before.
    pub fn record(&self, upstream: &str, per_second: f64, now: Millis) -> bool {
        let mut all = self.by_upstream.borrow_mut();
        all.retain(|_, limit| now.since(limit.named_at) < RETENTION);
        let known = all.get(upstream).map(|limit| limit.per_second);
        let limit = all.entry(upstream.to_owned()).or_insert(RateLimit {
            per_second,
            named_at: now,
            sends: 0,
        });
        limit.per_second = per_second;
        limit.named_at = now;
        known != Some(per_second)
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

    /// Counts a request that is sent to an upstream; `true` if it has a limit.
    pub(crate) fn count(&self, upstream: &str) -> bool {
        let mut all = self.by_upstream.borrow_mut();
        let limit = all.get_mut(upstream);
        limit.map(|limit| limit.sends += 1).is_some()
    }
}
