//! Errors of the platform's services.

use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The call was not sent or was refused, so it had no effect.
    #[snafu(display("{service} is unavailable: {detail}"))]
    Unavailable {
        /// The service that was called.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// No answer came, so a write may have taken effect.
    #[snafu(display("{service} gave no answer: {detail}"))]
    OutcomeUnknown {
        /// The service that was called.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The answer could not be understood.
    #[snafu(display("{service} gave a malformed answer: {detail}"))]
    Malformed {
        /// The service that was called.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// A value is too large for the store; nothing was written.
    #[snafu(display("the value of `{key}` has {bytes} bytes; the store holds {limit}"))]
    TooLarge {
        /// The key that was to be written.
        key: String,
        /// Size of the value in bytes.
        bytes: usize,
        /// Bound in bytes.
        limit: usize,
    },
}
