//! Membership: the states of the daemons, the ranking of owners, and the digests
//! that daemons exchange with their heartbeats.

mod confirmation;
mod heartbeat;
mod member;
mod ownership;
mod table;

pub use confirmation::Confirmation;
pub use heartbeat::{Digest, MemberView, Members};
pub use member::{Member, State};
pub use ownership::rank;
pub use table::{Effect, Table};
