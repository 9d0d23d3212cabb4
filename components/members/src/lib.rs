//! Membership: which daemons live, who owns what, and the digests that
//! daemons exchange with their heartbeats.

mod contact;
mod heartbeat;
mod member;
mod ownership;
mod table;

pub use contact::Contact;
pub use heartbeat::{Digest, MemberView, Members};
pub use member::{Member, State};
pub use ownership::rank;
pub use table::{Table, Update};
