//! Errors of reading and committing revisions.

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
        /// What the store's adapter said.
        source: store::Error,
    },
    /// A value of the store could not be understood.
    #[snafu(display("the value of `{key}` in the store is malformed: {source}"))]
    Malformed {
        /// The key that was read.
        key: String,
        /// What the decoder said.
        source: serde_json::Error,
    },
    /// The head names a value that the store does not have.
    #[snafu(display("the store has no value for `{key}`, which the head names"))]
    Missing {
        /// The key that was read.
        key: String,
    },
}
