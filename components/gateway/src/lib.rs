//! The query tier on a platform: routes callers' requests to upstreams that
//! are discovered in a store, and merges the parts of searches over many
//! shards.

mod admin;
mod concurrency;
mod fleet;
mod forward;
mod gate;
mod gather;
mod handler;
mod job;
mod merge;
mod outcome;
mod reload;
mod retry_after;
mod run;
mod settings;
mod shutdown;
mod state;
mod view;
mod wire;

pub use concurrency::ConcurrencyLimiter;
pub use fleet::{connection_share, initial_tokens, token_limit};
pub use gather::{Progress, Step, partial_answer_after};
pub use merge::top_records;
pub use outcome::{Cause, Refusal, Result};
pub use reload::ReadSettings;
pub use retry_after::retry_after;
pub use run::{Error, PlatformAdapters, run};
pub use settings::{RetryBudget, Settings};
pub use wire::{ForwardedRequest, Purpose, RequestContext, WireFormat};
