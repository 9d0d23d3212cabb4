//! The key-value store: reads, compare-and-swap, and watches.

use async_trait::async_trait;
use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::error::Result;

/// Largest value that is written, in bytes; below the platform's 1 MB.
pub const VALUE_LIMIT_BYTES: usize = 900_000;

/// A value with the version that a compare-and-swap must name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Increases with every write to the key; the first is 1.
    pub version: u64,
    /// The stored text.
    pub value: String,
}

/// The outcome of a compare-and-swap that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written at this version.
    Written(u64),
    /// The key is at another version than expected; nothing was written.
    Conflict,
}

/// The platform's key-value store.
#[async_trait(?Send)]
pub trait Store {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Writes a key if it is at version `expected`; 0 means absent.
    ///
    /// After [`crate::Error::OutcomeUnknown`] the write may have taken effect.
    async fn swap(&self, key: &str, expected: u64, value: &str) -> Result<Swap>;

    /// Waits until the key is above version `after`, at most for `wait`.
    async fn watch(&self, key: &str, after: u64, wait: Millis) -> Result<Option<Entry>>;
}
