//! The source of records: a store that can be read whole and watched.

use async_trait::async_trait;
use clock::Millis;
use snafu::Snafu;

use crate::entry::Record;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a source gave nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The changes that were asked for are no longer kept.
    #[snafu(display("the changes since revision {after} are no longer kept"))]
    Compacted {
        /// The revision that was asked for.
        after: u64,
    },
    /// The source can't be reached or refuses.
    #[snafu(display("{detail}"))]
    Unavailable {
        /// What was seen.
        detail: String,
    },
    /// The lease has ended.
    #[snafu(display("the lease has ended"))]
    LeaseEnded,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A record was written.
    Put(Record),
    /// A key was deleted at a revision.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: u64,
    },
}

impl Change {
    /// When it happened.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Put(record) => record.revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// All records, each at least as new as `revision`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<Record>,
    /// Changes after this revision may be missing.
    pub revision: u64,
}

/// Changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Records that were written and keys that were deleted.
    pub list: Vec<Change>,
    /// All changes up to this revision are in the list.
    pub revision: u64,
}

/// What happened after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All records, since not all changes are kept.
    Snapshot(Snapshot),
    /// The changes.
    Changes(Changes),
}

/// A store that can be read whole and watched.
#[async_trait(?Send)]
pub trait Feed {
    /// Reads all records.
    async fn read(&self) -> Result<Snapshot>;

    /// Waits at most `wait` for changes after a revision.
    async fn watch(&self, after: u64, wait: Millis) -> Result<Changes>;
}
