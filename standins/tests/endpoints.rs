//! Gateways of tests that run at the same time share no address.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

use standins::platform::endpoints::unused_endpoints;

const THREADS: usize = 4;
const CALLS: usize = 8;

#[test]
fn threads_get_different_addresses() {
    let calls = || -> Vec<Ipv4Addr> { (0..CALLS).map(|_| unused_endpoints().ip).collect() };
    let all: Vec<_> = (0..THREADS).map(|_| thread::spawn(calls)).collect();
    let addresses: HashSet<_> = all.into_iter().flat_map(|t| t.join().unwrap()).collect();
    assert_eq!(addresses.len(), THREADS * CALLS);
}

#[test]
fn an_address_at_which_a_process_listens_is_skipped() {
    let first = unused_endpoints();
    let next = Ipv4Addr::from_bits(first.ip.to_bits() + 1);
    let _listener = TcpListener::bind(SocketAddr::from((next, first.ready().port()))).unwrap();
    assert_ne!(unused_endpoints().ip, next);
}
