//! Why a connection can't be opened: the peer refuses it, or another reason.

use std::net::{SocketAddr, TcpListener};

use rstest::rstest;
use transport::Connection;

/// A port at which nobody listens.
fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// An address that no connection can be opened to: a local one without an interface.
fn unusable() -> SocketAddr {
    "[fe80::1]:1".parse().unwrap()
}

/// Guards against taking a peer for one that has ended because this process can't open
/// connections.
#[rstest]
#[case::refused(closed(), true)]
#[case::for_another_reason(unusable(), false)]
#[compio::test]
async fn only_the_peer_refuses_a_connection(#[case] address: SocketAddr, #[case] expected: bool) {
    let error = Connection::open(address)
        .await
        .err()
        .expect("no connection");
    assert_eq!(error.is_refused(), expected, "{error}");
}
