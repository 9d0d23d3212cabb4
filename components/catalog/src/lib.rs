//! Services, shards and upstreams: their declarations, the commits of
//! revisions to the store, and the indexed form that daemons use.

mod change;
mod commit;
mod declaration;
mod error;
mod group;
mod head;
mod limits;
mod rules;
mod topology;

pub use change::{MAX_COMMIT_CHANGES, changes_between};
pub use commit::{Outcome, Proposal, Repository, merge};
pub use declaration::{Declarations, Objective, Service, Shard, Upstream, parse, render};
pub use error::{Error, Result};
pub use group::{Group, MAX_GROUP_UPSTREAMS};
pub use head::{Commit, HEAD_KEY, Head, ServiceRef};
pub use limits::connections_per_daemon;
pub use topology::{Bundle, Catalog, Topology};
