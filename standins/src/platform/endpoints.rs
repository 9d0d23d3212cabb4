//! Loopback addresses for gateways. Their ports are fixed, so each gateway gets
//! an IP address of its own.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

const CALLERS_PORT: u16 = 8_226;
const READY_PORT: u16 = 8_227;
const PEERS_PORT: u16 = 8_224;
const METRICS_PORT: u16 = 9_464;
/// Bound on an IP address by the process that uses it; no gateway listens here.
const RESERVATION_PORT: u16 = 8_220;

/// First address that is given out; leaves 127.0.0.0/16 to other programs.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([127, 1, 0, 0]);
/// Number of addresses, up to 127.250.255.255.
const ADDRESSES: u32 = 250 << 16;
/// Distance between the addresses at which processes with successive ids start,
/// so that each seldom meets a reservation of another.
const PROCESS_STRIDE: u32 = 64;

/// Addresses at which a daemon listens, on an IP address of its own.
#[derive(Clone, Copy, Debug)]
pub struct Endpoints {
    /// IP address of the daemon.
    pub ip: Ipv4Addr,
}

impl Endpoints {
    /// Returns the address for callers.
    pub fn callers(self) -> SocketAddr {
        self.port(CALLERS_PORT)
    }

    /// Returns the address of the readiness endpoint.
    pub fn ready(self) -> SocketAddr {
        self.port(READY_PORT)
    }

    /// Returns the address for other daemons.
    pub fn peers(self) -> SocketAddr {
        self.port(PEERS_PORT)
    }

    /// Returns the address of the metrics endpoint.
    pub fn metrics(self) -> SocketAddr {
        self.port(METRICS_PORT)
    }

    fn port(self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Whether no process listens at any of the addresses.
    fn are_free(self) -> bool {
        let all = [self.callers(), self.ready(), self.peers(), self.metrics()];
        all.into_iter().all(|address| bind(address).is_some())
    }
}

/// The IP addresses that this process has reserved, each by a bound socket. The
/// kernel frees them when the process ends, however it ends.
static RESERVED: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());

/// Returns endpoints on a loopback address that no other call returns, in any
/// thread or running process of this network namespace.
///
/// # Panics
///
/// Panics if no address is free or a socket can't be bound.
pub fn unused_endpoints() -> Endpoints {
    // Held during the search, so that threads get addresses in turn.
    let mut reserved = RESERVED.lock().unwrap();
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE) % ADDRESSES;
    let mut candidates = (0..ADDRESSES).map(|i| candidate(start + i));
    let found = candidates.find_map(reserve);
    let (endpoints, reservation) = found.expect("a loopback address is free");
    reserved.push(reservation);
    endpoints
}

fn candidate(number: u32) -> Endpoints {
    Endpoints {
        ip: Ipv4Addr::from_bits(FIRST_ADDRESS + number % ADDRESSES),
    }
}

/// Reserves an IP address, unless another process has reserved it or listens
/// there.
fn reserve(endpoints: Endpoints) -> Option<(Endpoints, TcpListener)> {
    let reservation = bind(endpoints.port(RESERVATION_PORT))?;
    endpoints.are_free().then_some((endpoints, reservation))
}

/// Binds an address unless it is in use.
///
/// # Panics
///
/// Panics on any other error, which would repeat at every address.
fn bind(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address) {
        Ok(listener) => Some(listener),
        Err(e) if e.kind() == ErrorKind::AddrInUse => None,
        Err(e) => panic!("could not bind {address}: {e}"),
    }
}
