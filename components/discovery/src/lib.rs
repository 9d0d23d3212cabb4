//! A daemon's view of the system: the configuration, the upstreams and the
//! other daemons, read from a watched store or from peers, which relay its
//! records and stand in while it is unreachable.

mod compression;
mod crash_records;
mod directory;
mod entry;
mod feed;
mod follow;
mod history;
mod registration;
mod rejections;
mod relay;
mod watchers;

pub use compression::Compressor;
pub use crash_records::{CRASH_BATCH, CrashExchange, CrashRecords};
pub use directory::Directory;
pub use entry::{
    CrashEntry, Decode, Entry, InstanceEntry, Lifecycle, Record, SuspicionEntry, UpstreamEntry,
};
pub use feed::{Change, Changes, Error, Feed, Position, Result, Snapshot, Update};
pub use follow::{Follower, Listeners, Reach, SharedDirectory};
pub use registration::{Lease, Leases, Registration};
pub use rejections::Rejection;
pub use relay::{CRASHES_PATH, PeerUpdate, RelayClient, RelayState, SUSPICIONS_PATH};
pub use watchers::watchers;
