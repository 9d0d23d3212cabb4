//! The source of records: a store that can be read in full and watched.

use async_trait::async_trait;
use clock::Millis;
use snafu::Snafu;

use crate::entry::Record;

/// Result with this crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

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
    /// The source is unreachable, refuses the request or responds with an
    /// error.
    #[snafu(display("{detail}"))]
    Unavailable {
        /// The cause.
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
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Put(record) => record.revision,
            Change::Delete { revision, .. } => *revision,
        }
    }
}

/// All records as of `revision`; single records may be newer.
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
    /// The list is complete up to this revision.
    pub revision: u64,
}

/// What a directory at some revision needs to become current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// All records, because some changes are no longer kept.
    Snapshot(Snapshot),
    /// The changes after the revision.
    Changes(Changes),
}

/// A store that can be read in full and watched.
#[async_trait(?Send)]
pub trait Feed {
    /// Reads all records.
    async fn read(&self) -> Result<Snapshot>;

    /// Waits at most `wait` for changes after a revision.
    async fn watch(&self, after: u64, wait: Millis) -> Result<Changes>;
}
