//! Stand-in upstreams with slots, connection limits, snapshots and faults.

mod control;
mod server;
mod state;

pub use control::{Behaviour, Leaving, Mode};
pub use server::{Options, start};
