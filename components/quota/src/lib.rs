//! Quotas of workspaces over all daemons together. For each workspace one daemon, its
//! allocator, keeps a token bucket and grants tokens to the others ahead of use. Only
//! decisions; no I/O.

mod account;
mod accounts;
mod allocator;
mod allocators;
mod choice;
mod demand;
mod limit;
mod message;
mod share;

pub use account::Admitted;
pub use accounts::{AccountView, Accounts, Decision, Failure, Finished};
pub use allocator::{Allocator, BucketView, Standing};
pub use allocators::Allocators;
pub use choice::choose;
pub use limit::{Limit, Margin};
pub use message::{Answer, Grant, Message, Request};
