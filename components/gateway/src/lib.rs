//! The gateway: routes callers' requests to upstreams that are discovered in a
//! store, and merges the responses of searches over many shards.

mod admin;
mod call_retry;
mod concurrency;
mod crash_sharing;
mod delegation;
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
mod quotas;
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
mod workspace_shares;

pub use concurrency::ConcurrencyLimiter;
pub use crash_sharing::{MissingCrash, WriteSchedule, crash_write_delay};
pub use delegation::{answer_time, delegates, equal_daemons, large_daemons, share_before};
pub use fleet::{connection_share, token_limit};
pub use forward::late_wait;
pub use gather::{Progress, Step, partial_answer_after};
pub use merge::top_records;
pub use quota::Margin as QuotaMargin;
pub use refusal::{Cause, Refusal, Result};
pub use reload::ReadSettings;
pub use retry_after::{retry_after, spread_retry_after};
pub use run::{Error, PlatformAdapters, run};
pub use settings::{RetryBudget, Settings};
pub use shutdown_schedule::ShutdownSchedule;
pub use wire::{ForwardedRequest, Purpose, RequestContext, WireFormat};
pub use workspace_shares::WorkspaceShares;
