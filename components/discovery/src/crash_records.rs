//! How daemons keep the crashes of upstreams in common: in the store, and beside
//! the records that they relay to each other.

use async_trait::async_trait;

use crate::entry::CrashEntry;
use crate::feed::Result;
use crate::registration::Lease;

/// Largest number of crashes that one call writes.
pub const CRASH_BATCH: usize = 32;

/// Writes crashes to the store.
#[async_trait(?Send)]
pub trait CrashRecords {
    /// Writes up to [`CRASH_BATCH`] crashes that last until the lease ends; fails with
    /// [`crate::Error::LeaseEnded`] if it is gone. Writing one again replaces it.
    async fn write_crashes(&self, lease: Lease, crashes: &[CrashEntry]) -> Result<()>;
}

/// The crashes that a daemon knows, which it sends to the peers that poll it.
pub trait CrashExchange {
    /// Returns the known crashes that the store is not known to hold.
    fn unwritten_crashes(&self) -> Vec<CrashEntry>;

    /// Merges the crashes that a peer knows.
    fn merge_crashes(&self, crashes: &[CrashEntry]);
}
