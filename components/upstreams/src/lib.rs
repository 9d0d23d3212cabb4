//! Sends requests to upstreams: slots, connections, health, hedges and
//! retries.

mod attempt;
mod batch;
mod budget;
mod call;
mod crashes;
mod dispatch;
mod drains;
mod end_check;
mod endpoint;
mod failure;
mod health;
mod latency;
mod message;
mod placement;
mod pool;
mod probe;
mod queue;
mod search;
mod sent;
mod service;
mod shared;
mod slot;
mod upstream;
mod upstream_latency;
mod view;
mod wire;

pub use batch::jittered_wait;
pub use budget::Budget;
pub use call::{Call, RetryPolicy, Shard};
pub use crashes::{CRASH_TTL, Crash, CrashStatus, CrashTable, SharedCrash};
pub use drains::Drains;
pub use endpoint::Endpoint;
pub use failure::{Failure, Ran, Reason, Result};
pub use health::Tier;
pub use latency::Latency;
pub use message::{Answer, DataVersion, Message, Recipient, Reply, UpstreamReport};
pub use placement::AcquireError;
pub use pool::Pool;
pub use service::{Holding, Pools, Service};
pub use shared::{OwnsGroup, PoolConfig, Shared};
pub use slot::Slot;
pub use upstream::{Upstream, UpstreamKey};
pub use upstream_latency::UpstreamLatency;
pub use view::{PoolView, UpstreamState, UpstreamView};
pub use wire::NativeMessage;
