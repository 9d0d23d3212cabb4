//! Runs callers' requests as the root daemon (plans a request, scatters it to
//! the owners of the shards, merges their replies and answers), and peers'
//! sub-requests as an owner.

mod answer;
mod booking;
mod exit_time;
mod merge;
mod outcomes;
mod owner;
mod plan;
mod refusal;
mod root;
mod scatter;
mod search;
mod server;
mod views;
mod waits;

pub use answer::{BookingAnswer, MissingShard, SearchAnswer};
pub use booking::BookRequest;
pub use exit_time::ExitTime;
pub use merge::Merge;
pub use outcomes::{BookingState, Outcomes};
pub use owner::{LocalOwner, Owner, PeerError, RemoteOwner, not_run_status};
pub use plan::choose_version;
pub use refusal::{Kind, Refusal, Result};
pub use root::{Gate, Root, SearchRequest};
pub use server::Server;
