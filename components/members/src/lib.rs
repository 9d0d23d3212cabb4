//! Membership: the states of the daemons, the ranking of owners, and the digests
//! that daemons exchange with their heartbeats.

mod confirmation;
mod digest;
mod heartbeat;
mod instances;
mod member;
mod members;
mod ownership;
mod table;

pub use confirmation::Confirmation;
pub use digest::Digest;
pub use member::{Member, State};
pub use members::{MemberView, Members};
pub use ownership::rank;
pub use table::{Effect, Table};
