//! The platform's services as traits, each with an HTTP adapter: the
//! key-value store and the list of instances.

mod error;
mod http;
mod instances;
mod kv;

pub use error::{Error, Result};
pub use http::HttpStore;
pub use instances::{HttpInstanceList, Instance, InstanceList, InstanceState};
pub use kv::{Entry, Store, Swap, VALUE_LIMIT_BYTES};
