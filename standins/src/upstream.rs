//! Upstreams with slots, connection limits, snapshots and faults.

mod control;
mod server;
mod work;

pub use control::{Behaviour, Leaving, Mode};
pub use server::{Options, start};
