//! What this daemon knows of the snapshots that owners hold.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use upstreams::Holding;

// Beyond this age a view is refreshed in the background.
const FRESH: Millis = Millis(500);
// A view in which nothing can be served is asked for again after this.
const EMPTY_FRESH: Millis = Millis(50);
// Beyond this age a view is not used.
const VALID: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct View {
    at: Millis,
    holdings: Vec<Holding>,
}

/// How much is known of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Knowledge {
    Fresh,
    Stale,
    Unknown,
}

/// The last known holdings by group.
#[derive(Default)]
pub(crate) struct Views {
    groups: RefCell<HashMap<String, View>>,
}

impl Views {
    pub(crate) fn knowledge(&self, key: &str, partitioning: &str, now: Millis) -> Knowledge {
        let groups = self.groups.borrow();
        let Some(view) = groups.get(key) else {
            return Knowledge::Unknown;
        };
        let age = now.since(view.at);
        let is_useful = view
            .holdings
            .iter()
            .any(|h| h.partitioning == partitioning && !h.shards.is_empty());
        match () {
            () if !is_useful && age > EMPTY_FRESH => Knowledge::Unknown,
            () if age <= FRESH => Knowledge::Fresh,
            () if age <= VALID => Knowledge::Stale,
            () => Knowledge::Unknown,
        }
    }

    /// Replaces what is known of a group.
    pub(crate) fn set(&self, group: &str, holdings: Vec<Holding>, now: Millis) {
        self.groups
            .borrow_mut()
            .insert(group.to_owned(), View { at: now, holdings });
    }

    /// Makes a view due for a refresh now, so that it is not asked for twice.
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
            .filter(|v| now.since(v.at) <= VALID);
        valid.flat_map(|v| v.holdings.iter().cloned()).collect()
    }

    /// Forgets the groups of services that are gone.
    pub(crate) fn retain(&self, is_kept: impl Fn(&str) -> bool) {
        self.groups.borrow_mut().retain(|group, _| is_kept(group));
    }
}
