//! Request routing: the configuration that operators write, and the table that
//! finds the route of a request.

mod configuration;
mod split;
mod table;
mod workspace;

pub use configuration::{
    Configuration, Delivery, Gather, Limits, Route, ServiceLimits, Target, WeightedService,
};
pub use split::Splitter;
pub use table::{Entry, Table};
pub use workspace::{KeyDigest, Quota, Workspace};
