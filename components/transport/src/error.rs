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
    /// No connection was open within the timeout, so the request was not sent.
    #[snafu(display("not connected to {address} within {waited}"))]
    ConnectTimeout {
        /// The address that was tried.
        address: SocketAddr,
        /// The timeout.
        waited: Millis,
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
    /// More interim responses arrived than allowed.
    #[snafu(display("more than {limit} interim responses from {address}"))]
    TooManyInterim {
        /// The peer's address.
        address: SocketAddr,
        /// The largest allowed number.
        limit: usize,
    },
    /// The response is malformed, or a part of it other than the body too large.
    #[snafu(display("malformed response from {address}: {source}"))]
    Malformed {
        /// The peer's address.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The status is none of a final response.
    #[snafu(display("response from {address} with status {status}"))]
    InvalidStatus {
        /// The peer's address.
        address: SocketAddr,
        /// The status.
        status: u16,
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
    /// Returns the error of a request that was written.
    pub(crate) fn from_exchange(address: SocketAddr, source: hyper::Error) -> Self {
        match source.is_parse() || is_invalid_body(&source) {
            true => Error::Malformed { address, source },
            false => Error::Died { address, source },
        }
    }

    /// Whether the peer answered, but with something that is malformed or
    /// unbounded.
    pub fn is_unusable(&self) -> bool {
        matches!(
            self,
            Error::TooLarge { .. }
                | Error::TooManyInterim { .. }
                | Error::Malformed { .. }
                | Error::InvalidStatus { .. }
        )
    }

    /// Whether the peer refused the connection. Others can't be opened for reasons of this
    /// process, such as its limit on descriptors.
    pub fn is_refused(&self) -> bool {
        match self {
            Error::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }

    /// Whether the request certainly did not reach the peer.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. }
                | Error::ConnectTimeout { .. }
                | Error::NotSent { .. }
                | Error::Handshake { .. }
        )
    }
}

/// Whether the framing of a body is wrong or too large; a body that ends early is
/// not.
fn is_invalid_body(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io = source.and_then(|e| e.downcast_ref::<io::Error>());
    io.is_some_and(|e| {
        matches!(
            e.kind(),
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    })
}
