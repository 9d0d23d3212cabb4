//! The latest changes of a directory, for peers that are slightly behind.

use std::collections::VecDeque;

use crate::feed::Change;

const CHANGE_LIMIT: usize = 4_096;

/// The latest changes, in the order of their revisions.
#[derive(Default)]
pub(crate) struct History {
    changes: VecDeque<Change>,
    /// All changes after this revision are kept.
    floor: u64,
}

impl History {
    /// Drops all changes; the history then covers those after `revision`.
    pub(crate) fn reset(&mut self, revision: u64) {
        self.changes.clear();
        self.floor = revision;
    }

    /// Adds a change; drops the oldest one above the limit.
    pub(crate) fn add(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > CHANGE_LIMIT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.floor = oldest.revision();
        }
    }

    /// Returns the changes after a revision; `None` if some are no longer kept.
    pub(crate) fn since(&self, after: u64) -> Option<Vec<Change>> {
        let newer = || self.changes.iter().filter(|c| c.revision() > after);
        (after >= self.floor).then(|| newer().cloned().collect())
    }
}
