//! The digests that daemons exchange with their heartbeats.

use schema::HeartbeatMessage;

/// Data of other parts of the daemon that heartbeats carry.
pub trait Digest {
    /// Returns the revision in force.
    fn revision(&self) -> u64;

    /// Adds this daemon's digests to a message.
    fn collect(&self, message: &mut HeartbeatMessage);

    /// Merges a peer's digests.
    fn merge(&self, message: &HeartbeatMessage);
}
