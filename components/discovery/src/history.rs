//! The last changes of a directory, for peers that are a little behind.

use std::collections::VecDeque;

use crate::feed::Change;

const CHANGES_KEPT: usize = 4_096;

/// The last changes, in the order of their revisions.
#[derive(Default)]
pub(crate) struct History {
    changes: VecDeque<Change>,
    /// All changes after this revision are there.
    floor: u64,
}

impl History {
    /// Forgets all changes up to a revision.
    pub(crate) fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.floor = revision;
    }

    /// Adds a change.
    pub(crate) fn add(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > CHANGES_KEPT
            && let Some(oldest) = self.changes.pop_front()
        {
            self.floor = oldest.revision();
        }
    }

    /// The changes after a revision; `None` if some are no longer kept.
    pub(crate) fn since(&self, after: u64) -> Option<Vec<Change>> {
        let newer = || self.changes.iter().filter(|c| c.revision() > after);
        (after >= self.floor).then(|| newer().cloned().collect())
    }
}
