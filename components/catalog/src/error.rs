//! Errors from reading and committing revisions.

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a revision could not be read or committed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The store failed.
    #[snafu(display("{source}"))]
    Store {
        /// Error from the store client.
        source: store::Error,
    },
    /// A value could not be decoded from its JSON, or encoded as JSON.
    #[snafu(display("the value of `{key}` in the store is malformed: {source}"))]
    Malformed {
        /// The key in the store, or the name of the service that was encoded.
        key: String,
        /// Error from the JSON library.
        source: serde_json::Error,
    },
    /// The head refers to a value that is not in the store.
    #[snafu(display("the store has no value for `{key}`, which the head refers to"))]
    Missing {
        /// The key that was read.
        key: String,
    },
}
