//! The owner's side: slots, connections, health, hedges and retries of
//! upstreams.

mod attempt;
mod batch;
mod budget;
mod call;
mod dispatch;
mod drains;
mod endpoint;
mod failure;
mod health;
mod latency;
mod message;
mod pace;
mod placing;
mod pool;
mod probe;
mod queue;
mod search;
mod service;
mod shared;
mod slot;
mod suspects;
mod upstream;
mod view;
mod wire;

pub use batch::spread;
pub use budget::Budget;
pub use call::{Call, Effort, Shard};
pub use drains::Drains;
pub use endpoint::Endpoint;
pub use failure::{Failure, Ran, Reason, Result};
pub use health::Tier;
pub use latency::Latency;
pub use message::{Answer, Held, Message, Notes, Recipient, Reply};
pub use pace::Pace;
pub use placing::Refusal;
pub use pool::Pool;
pub use service::{Holding, Pools, Service};
pub use shared::{Habits, OwnsGroup, Shared};
pub use slot::Slot;
pub use suspects::{Death, Suspects, Verdict};
pub use upstream::{Upstream, UpstreamKey};
pub use view::{PoolView, UpstreamState, UpstreamView};
pub use wire::NativeMessage;
