//! Stand-ins for the platform and the upstreams, and tools that start real
//! processes and put load on them. Used in tests and benchmarks; not part of a
//! release.

pub mod bench;
pub mod bookings;
pub mod client;
pub mod demo;
mod epoch;
pub mod fleet;
pub mod graph;
pub mod instances;
pub mod load;
pub mod memory;
pub mod platform;
pub mod raw_request;
pub mod store;
pub mod upstream;
