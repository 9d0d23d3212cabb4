//! The key-value store: reads, compare-and-swap, and watches.

use async_trait::async_trait;
use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::error::Result;

/// Largest value that may be written, in bytes; below the platform's limit of
/// 1 MB.
pub const VALUE_LIMIT_BYTES: usize = 900_000;

/// A value with the version that a compare-and-swap must expect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Increases with every write to the key; the first is 1.
    pub version: u64,
    /// The stored text.
    pub value: String,
}

/// Result of a compare-and-swap to which the store responded.
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
    /// Reads a key; `None` if it is absent.
    async fn get(&self, key: &str) -> Result<Option<Entry>>;

    /// Writes a key by compare-and-swap if its version is `expected`; 0 means
    /// that the key is absent.
    ///
    /// After [`crate::Error::OutcomeUnknown`] the write may have taken effect.
    async fn swap(&self, key: &str, expected: u64, value: &str) -> Result<Swap>;

    /// Returns the latest epoch of an answer; it rises each time that the store
    /// is restored from a backup, without its latest writes. 0 if no answer has one.
    fn epoch(&self) -> u64;

    /// Waits at most `wait` for a version of the key above `after`; `None` if
    /// none appears.
    async fn watch(&self, key: &str, after: u64, wait: Millis) -> Result<Option<Entry>>;
}
