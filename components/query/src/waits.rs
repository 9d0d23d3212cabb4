//! The waits that owners told, for refusing at the root before anything runs.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;

/// A search is refused if a wait would take this share of its time, so that
/// the work that is begun is finished.
const SHARE_PERCENT: u64 = 60;
const ENTRY_LIMIT: usize = 10_000;

/// The last told wait by group; it shrinks as time passes.
#[derive(Default)]
pub(crate) struct Waits {
    told: RefCell<HashMap<String, (Millis, Millis)>>,
}

impl Waits {
    /// Notes what an owner told of a group.
    pub(crate) fn set(&self, group: &str, wait: Millis, now: Millis) {
        let mut told = self.told.borrow_mut();
        if told.len() >= ENTRY_LIMIT {
            told.retain(|_, (at, wait)| now.since(*at) < *wait);
        }
        told.insert(group.to_owned(), (now, wait));
    }

    /// The longest wait that is left in some groups.
    pub(crate) fn longest(&self, groups: &[String], now: Millis) -> Millis {
        let told = self.told.borrow();
        let left = groups
            .iter()
            .filter_map(|g| told.get(g))
            .map(|(at, wait)| *wait - now.since(*at));
        left.max().unwrap_or_default()
    }
}

/// Whether a wait leaves too little of a request's time.
pub(crate) fn is_too_long(wait: Millis, budget: Millis) -> bool {
    wait.0 * 100 > budget.0 * SHARE_PERCENT
}
