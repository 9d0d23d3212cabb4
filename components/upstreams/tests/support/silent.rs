//! An upstream that never answers.

use std::net::TcpListener;

/// Listens but never answers.
pub fn silent() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}
