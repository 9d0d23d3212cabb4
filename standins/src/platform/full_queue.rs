//! Listeners at which new connections get no answer, as at a machine without power.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use compio::net::TcpListener;
use nix::sys::socket::Backlog;

/// A connection that is not accepted within this time is dropped by the kernel, because
/// the queue of the listener is full.
const FILL_TIMEOUT: Duration = Duration::from_millis(10);
const USUAL_LENGTH: i32 = 128;

/// The connections that fill the queue of a listener, so that the kernel drops further ones.
pub(crate) struct FullQueue(Vec<TcpStream>);

impl FullQueue {
    /// Fills the queue of a listener at an address.
    pub(crate) fn fill(listener: &TcpListener, address: SocketAddr) -> Self {
        set_length(listener, 0);
        let connect = || TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok();
        Self(std::iter::from_fn(connect).collect())
    }

    /// Lets the listener accept connections again.
    pub(crate) fn empty(self, listener: &TcpListener) {
        drop(self.0);
        set_length(listener, USUAL_LENGTH);
    }
}

fn set_length(listener: &TcpListener, length: i32) {
    let length = Backlog::new(length).expect("the length is valid");
    let _ = nix::sys::socket::listen(listener, length);
}
