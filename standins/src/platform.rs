//! The users' platform: its store, upstreams that register there, and the
//! settings file of a daemon.

pub mod gateway;
pub mod site;
pub mod store;
pub mod upstream;
