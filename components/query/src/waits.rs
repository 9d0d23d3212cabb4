//! The waits for a slot that owners reported, with which the root refuses a
//! search before any part of it runs.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;

/// A search is refused if a wait would take more than this share of its time,
/// so that work that is started can be finished.
const MAX_WAIT_PERCENT: u64 = 60;
const ENTRY_LIMIT: usize = 10_000;

/// The last reported wait by group; it shrinks as time passes.
#[derive(Default)]
pub(crate) struct Waits {
    by_group: RefCell<HashMap<String, (Millis, Millis)>>,
}

impl Waits {
    /// Records the wait that an owner reported for a group.
    pub(crate) fn set(&self, group: &str, wait: Millis, now: Millis) {
        let mut by_group = self.by_group.borrow_mut();
        if by_group.len() >= ENTRY_LIMIT {
            by_group.retain(|_, (at, wait)| now.since(*at) < *wait);
        }
        by_group.insert(group.to_owned(), (now, wait));
    }

    /// Returns the longest remaining wait of some groups.
    pub(crate) fn longest(&self, groups: &[String], now: Millis) -> Millis {
        let by_group = self.by_group.borrow();
        let left = groups
            .iter()
            .filter_map(|g| by_group.get(g))
            .map(|(at, wait)| *wait - now.since(*at));
        left.max().unwrap_or_default()
    }
}

/// Whether a wait leaves too little of the time that a request has left.
pub(crate) fn is_too_long(wait: Millis, time_left: Millis) -> bool {
    wait.0 * 100 > time_left.0 * MAX_WAIT_PERCENT
}
