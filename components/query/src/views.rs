//! This daemon's cache of the snapshots that the upstreams of each group hold.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use upstreams::Holding;

// An older view is refreshed in the background.
const FRESH_AGE: Millis = Millis(500);
// An older view is surveyed again before use if no shard can be served from it.
const EMPTY_FRESH_AGE: Millis = Millis(50);
// An older view is not used.
const VALID_AGE: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct View {
    at: Millis,
    holdings: Vec<Holding>,
}

/// Whether a group's view can be used, and whether it is due for a refresh.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    Fresh,
    Stale,
    Unknown,
}

/// The last known holdings by group key.
#[derive(Default)]
pub(crate) struct Views {
    groups: RefCell<HashMap<String, View>>,
}

impl Views {
    pub(crate) fn freshness(&self, key: &str, partitioning: &str, now: Millis) -> Freshness {
        let groups = self.groups.borrow();
        let Some(view) = groups.get(key) else {
            return Freshness::Unknown;
        };
        let age = now.since(view.at);
        let is_useful = view
            .holdings
            .iter()
            .any(|h| h.partitioning == partitioning && !h.shards.is_empty());
        match () {
            () if !is_useful && age > EMPTY_FRESH_AGE => Freshness::Unknown,
            () if age <= FRESH_AGE => Freshness::Fresh,
            () if age <= VALID_AGE => Freshness::Stale,
            () => Freshness::Unknown,
        }
    }

    /// Replaces the view of a group.
    pub(crate) fn set(&self, group: &str, holdings: Vec<Holding>, now: Millis) {
        self.groups
            .borrow_mut()
            .insert(group.to_owned(), View { at: now, holdings });
    }

    /// Marks a view as refreshed now, so that no second refresh starts meanwhile.
    pub(crate) fn touch(&self, group: &str, now: Millis) {
        if let Some(view) = self.groups.borrow_mut().get_mut(group) {
            view.at = now;
        }
    }

    pub(crate) fn holdings(&self, groups: &[String], now: Millis) -> Vec<Holding> {
        let views = self.groups.borrow();
        let valid = groups
            .iter()
            .filter_map(|g| views.get(g))
            .filter(|v| now.since(v.at) <= VALID_AGE);
        valid.flat_map(|v| v.holdings.iter().cloned()).collect()
    }

    /// Drops the views whose group key is not to be kept.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.groups.borrow_mut().retain(|group, _| is_kept(group));
    }
}
