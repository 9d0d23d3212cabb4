//! The owner's side: slots, connections, health, hedges and retries of
//! upstreams.

mod attempt;
mod batch;
mod budget;
mod dispatch;
mod drains;
mod failure;
mod health;
mod latency;
mod pool;
mod probe;
mod queue;
mod search;
mod suspects;
mod upstream;
mod view;
mod wire;

pub use batch::spread;
pub use budget::Budget;
pub use drains::Drains;
pub use failure::{Failure, Ran, Reason, Result};
pub use health::Tier;
pub use latency::Latency;
pub use pool::{Holding, OwnsGroup, Pool, Pools, Shared};
pub use queue::{Refusal, Slot};
pub use search::{Call, Rows};
pub use suspects::{Death, Suspects, Verdict};
pub use upstream::{Upstream, UpstreamKey};
pub use view::{PoolView, UpstreamView};
