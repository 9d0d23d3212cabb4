//! A daemon: its background tasks, its interfaces and its shutdown.

mod callers;
mod confirm;
mod digest;
mod dump;
mod in_flight;
mod operator;
mod peers;
mod problem;
mod run;
mod schedule;
mod shutdown;
mod state;
mod sync;

pub use in_flight::{End, InFlight, InFlightRequest};
pub use run::{Error, Result, run};
pub use schedule::Schedule;
