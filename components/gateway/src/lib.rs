//! The query tier on a platform: routes callers' requests to upstreams that
//! are discovered in a store, and merges the parts of searches over many
//! shards.

mod admin;
mod admission;
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

pub use admission::Admission;
pub use fleet::{connection_share, savings_limit, starting_tokens};
pub use gather::{Progress, Step, answer_within};
pub use merge::top_records;
pub use outcome::{Cause, Refusal, Result};
pub use reload::ReadSettings;
pub use retry_after::retry_after;
pub use run::{Error, Parts, run};
pub use settings::{Budgets, Settings};
pub use wire::{Forwarded, Purpose, Terms, Wire};
