//! What a daemon believes of the system: the configuration, the upstreams and
//! the other daemons, learned from a watched store or, while it is out of
//! reach, from peers.

mod directory;
mod entry;
mod feed;
mod follow;
mod history;
mod registration;
mod relay;
mod watchers;

pub use directory::Directory;
pub use entry::{Decode, Entry, InstanceEntry, Lifecycle, Record, UpstreamEntry};
pub use feed::{Change, Changes, Error, Feed, Result, Snapshot, Update};
pub use follow::{Follower, Listeners, SharedDirectory};
pub use registration::{Leases, Registration};
pub use relay::{PeerUpdate, RelayClient, RelayState};
pub use watchers::watchers;
