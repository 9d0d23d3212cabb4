//! Errors of connections and calls.

use std::io;
use std::net::SocketAddr;

use clock::Millis;
use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a connection, a request or a listener failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("could not connect to {address}: {source}"))]
    Connect {
        /// The address that was tried.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection was closed before the request was written.
    #[snafu(display("connection to {address} closed before the request was sent"))]
    NotSent {
        /// The peer's address.
        address: SocketAddr,
    },
    /// The connection failed after the request may have been written.
    #[snafu(display("connection to {address} failed while a request was running: {source}"))]
    Died {
        /// The peer's address.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The body of the response is larger than allowed.
    #[snafu(display("response from {address} is larger than {limit} bytes"))]
    TooLarge {
        /// The peer's address.
        address: SocketAddr,
        /// The largest allowed size in bytes.
        limit: usize,
    },
    /// No response came within the timeout.
    #[snafu(display("no response from {address} within {waited}"))]
    Timeout {
        /// The peer's address.
        address: SocketAddr,
        /// The timeout.
        waited: Millis,
    },
    /// The HTTP handshake failed.
    #[snafu(display("HTTP handshake with {address} failed: {source}"))]
    Handshake {
        /// The peer's address.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// A listener could not be opened.
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen {
        /// The address that was tried.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl Error {
    /// Whether the request certainly did not reach the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. } | Error::NotSent { .. } | Error::Handshake { .. }
        )
    }
}
