//! The source of records: a store that can be read in full and watched.

use async_trait::async_trait;
use clock::Millis;
use snafu::Snafu;

use crate::entry::Record;
use crate::rejections::Rejection;

/// Result with this crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A point in the history of a store. Positions of a later epoch are later, whatever
/// their revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Rises each time that the store is restored from a backup; 0 if it reports none.
    pub epoch: u64,
    /// Revision within the epoch. The revisions that a backup lacks are given out again.
    pub revision: u64,
}

/// Failure of a request to the store or to a peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The requested changes are no longer kept.
    #[snafu(display("the changes since revision {after} are no longer kept"))]
    Compacted {
        /// The revision after which changes were requested.
        after: u64,
    },
    /// The store was restored from a backup, so that all records must be read anew.
    #[snafu(display("the store was restored from a backup, epoch {epoch}"))]
    Restored {
        /// The epoch of the answer.
        epoch: u64,
    },
    /// The source is unreachable, refuses the request or responds with an
    /// error.
    #[snafu(display("{detail}"))]
    Unavailable {
        /// The cause.
        detail: String,
    },
    /// The lease has ended, or was granted before the store was restored from a backup.
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
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Put(record) => record.revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// All records as of a position; single records may be newer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<Record>,
    /// Changes after this position may be missing.
    pub at: Position,
}

/// Changes in the order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Records that were written and keys that were deleted.
    pub list: Vec<Change>,
    /// The list is complete up to this position, and all of its epoch.
    pub at: Position,
}

/// What a directory at some position needs to become current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All records, because some changes are no longer kept.
    Snapshot(Snapshot),
    /// The changes after the position.
    Changes(Changes),
}

/// A store that can be read in full and watched.
#[async_trait(?Send)]
pub trait Feed {
    /// Reads all records.
    async fn read(&self) -> Result<Snapshot>;

    /// Waits at most `wait` for changes after a position; fails with
    /// [`Error::Restored`] if the store is in another epoch.
    async fn watch(&self, after: Position, wait: Millis) -> Result<Changes>;

    /// Returns the changes after a position without waiting for any, over a new
    /// connection, which later calls use; fails as [`Feed::watch`] does, and if there is
    /// no answer `within` a time.
    async fn watch_anew(&self, after: Position, within: Millis) -> Result<Changes>;

    /// Returns what was left out of answers since the last call because it could not be read.
    fn take_unreadable(&self) -> Vec<Rejection> {
        Vec::new()
    }

    /// Returns the latest epoch in any answer of the store or of a peer.
    fn epoch(&self) -> u64;

    /// Records an epoch that a peer knows; answers of earlier ones are ignored from now
    /// on.
    fn observe_epoch(&self, epoch: u64);
}
