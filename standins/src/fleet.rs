//! Starts, freezes and kills real processes: daemons, the store, the list of
//! instances and upstreams.

mod daemons;
mod plan;
mod process;
mod requests;
mod system;
mod upstreams;
mod wait;

pub use daemons::DaemonProcess;
pub use plan::{Plan, ServicePlan};
pub use process::{Binaries, Process, terminate};
pub use requests::{book, search};
pub use system::Fleet;
pub use upstreams::UpstreamProcess;
pub use wait::wait_until;
