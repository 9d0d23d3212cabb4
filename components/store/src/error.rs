//! Errors of calls to the platform's services.

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
        /// The cause.
        detail: String,
    },
    /// No response came, or one with a status that leaves the outcome open; a
    /// write may have taken effect.
    #[snafu(display("{service}: outcome of the call unknown: {detail}"))]
    OutcomeUnknown {
        /// The service that was called.
        service: &'static str,
        /// The cause.
        detail: String,
    },
    /// The request could not be built or the response could not be decoded.
    #[snafu(display("{service}: malformed request or response: {detail}"))]
    Malformed {
        /// The service that was called.
        service: &'static str,
        /// The cause.
        detail: String,
    },
    /// A value is too large for the store; nothing was written.
    #[snafu(display("the value of `{key}` has {bytes} bytes; the limit is {limit}"))]
    TooLarge {
        /// The key of the write.
        key: String,
        /// Size of the value in bytes.
        bytes: usize,
        /// Largest allowed size in bytes.
        limit: usize,
    },
}
