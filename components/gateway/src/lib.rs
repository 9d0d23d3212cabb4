//! The gateway: routes callers' requests to upstreams that are discovered in a
//! store, and merges the responses of searches over many shards.

mod admin;
mod concurrency;
mod crash_sharing;
mod evacuations;
mod fleet;
mod forward;
mod gather;
mod handler;
mod identity;
mod in_flight;
mod link_watch;
mod merge;
mod peer_forward;
mod refusal;
mod reload;
mod retry_after;
mod route_limiters;
mod routed_request;
mod run;
mod settings;
mod shutdown;
mod shutdown_schedule;
mod state;
mod view;
mod wire;

pub use concurrency::ConcurrencyLimiter;
pub use crash_sharing::{MissingCrash, WriteSchedule, crash_write_delay};
pub use fleet::{connection_share, token_limit};
pub use gather::{Progress, Step, partial_answer_after};
pub use merge::top_records;
pub use refusal::{Cause, Refusal, Result};
pub use reload::ReadSettings;
pub use retry_after::retry_after;
pub use run::{Error, PlatformAdapters, run};
pub use settings::{RetryBudget, Settings};
pub use shutdown_schedule::ShutdownSchedule;
pub use wire::{ForwardedRequest, Purpose, RequestContext, WireFormat};
