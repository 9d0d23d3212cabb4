//! Upstreams that asked this daemon to send nothing for a while.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;

/// Longest time for which one answer can keep this daemon away.
const LONGEST_BACKOFF: Millis = Millis(600_000);

/// The times until which nothing is sent, by process of the upstream as in
/// [`Crash::upstream`](crate::Crash::upstream).
#[derive(Debug, Default)]
pub struct Backoffs {
    until: RefCell<HashMap<String, Millis>>,
}

impl Backoffs {
    /// Records that an upstream asked for a backoff of `wait`; an earlier answer that
    /// asked for a longer time stays in force. `true` if the time is longer now.
    pub fn record(&self, upstream: &str, wait: Millis, now: Millis) -> bool {
        let mut until = self.until.borrow_mut();
        until.retain(|_, end| *end > now);
        let end = now + wait.min(LONGEST_BACKOFF);
        let known = until.get(upstream).copied().unwrap_or(now);
        if end > known {
            until.insert(upstream.to_owned(), end);
        }
        end > known
    }

    /// Whether no upstream asked for it lately.
    pub fn is_empty(&self) -> bool {
        self.until.borrow().is_empty()
    }

    /// Returns the backoff that is left of an upstream; zero if there is none.
    pub fn time_left(&self, upstream: &str, now: Millis) -> Millis {
        let until = self.until.borrow();
        until.get(upstream).map_or(Millis::ZERO, |end| *end - now)
    }
}
