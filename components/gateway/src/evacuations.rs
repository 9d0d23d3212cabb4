//! The failure domains that are being evacuated, and which of them are new.

use std::cell::{Ref, RefCell};
use std::collections::BTreeSet;

/// The failure domains to whose upstreams nothing is sent.
#[derive(Default)]
pub(crate) struct Evacuations(RefCell<BTreeSet<String>>);

/// Difference between two sets of evacuated failure domains.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Difference {
    pub(crate) started: Vec<String>,
    pub(crate) ended: Vec<String>,
}

impl Evacuations {
    /// Replaces the set of domains; returns what has changed.
    pub(crate) fn replace<'a>(&self, domains: impl Iterator<Item = &'a str>) -> Difference {
        let new: BTreeSet<String> = domains.map(str::to_owned).collect();
        let old = self.0.replace(new.clone());
        Difference {
            started: new.difference(&old).cloned().collect(),
            ended: old.difference(&new).cloned().collect(),
        }
    }

    pub(crate) fn contains(&self, domain: &str) -> bool {
        self.0.borrow().contains(domain)
    }

    pub(crate) fn domains(&self) -> Ref<'_, BTreeSet<String>> {
        self.0.borrow()
    }
}
