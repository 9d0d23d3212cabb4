//! Errors of connections and calls.

use std::io;
use std::net::SocketAddr;

use clock::Millis;
use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request got no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("could not connect to {address}: {source}"))]
    Connect {
        /// The address that was tried.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// The connection was closed before the request was written.
    #[snafu(display("connection to {address} closed before the request was sent"))]
    NotSent {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The connection died after the request may have been written.
    #[snafu(display("connection to {address} died while a request was running: {source}"))]
    Died {
        /// The peer's address.
        address: SocketAddr,
        /// What the HTTP library said.
        source: hyper::Error,
    },
    /// The answer's body was larger than allowed.
    #[snafu(display("answer from {address} is larger than {limit} bytes"))]
    TooLarge {
        /// The peer's address.
        address: SocketAddr,
        /// The bound in bytes.
        limit: usize,
    },
    /// No answer came in time.
    #[snafu(display("no answer from {address} for {waited}"))]
    Timeout {
        /// The peer's address.
        address: SocketAddr,
        /// How long was waited.
        waited: Millis,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {address} failed: {source}"))]
    Handshake {
        /// The peer's address.
        address: SocketAddr,
        /// What the HTTP library said.
        source: hyper::Error,
    },
    /// A listener could not be opened.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// The address that was tried.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
}

impl Error {
    /// Whether the request is known not to have reached the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. } | Error::NotSent { .. } | Error::Handshake { .. }
        )
    }
}
