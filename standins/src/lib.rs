//! Stand-ins for the platform and the upstreams, and tools that start and
//! load real processes. Used for tests and trials; never shipped.

pub mod bench;
pub mod client;
pub mod demo;
pub mod fleet;
pub mod graph;
pub mod instances;
pub mod load;
pub mod platform;
pub mod store;
pub mod upstream;
