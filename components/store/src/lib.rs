//! Traits for the platform's services, the key-value store and the list of
//! instances, each with an HTTP client.

mod error;
mod http;
mod instances;
mod kv;

pub use error::{Error, Result};
pub use http::HttpStore;
pub use instances::{HttpInstanceList, Instance, InstanceList, InstanceState, Listing};
pub use kv::{Entry, Store, Swap, VALUE_LIMIT_BYTES};
