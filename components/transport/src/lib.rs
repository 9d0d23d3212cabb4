//! HTTP/1.1 and gRPC on the compio runtime: a client for HTTP/1.1, a
//! reconnecting channel for gRPC, and one server loop for both, with what a server
//! needs for its shutdown.

mod channel;
mod client;
mod connection;
mod error;
mod event;
mod header;
mod in_flight;
mod interim;
mod local;
mod response;
mod response_memory;
mod server;
mod signal;
mod timer;
mod uri;

pub use channel::{Channel, PeerClient, operator_client, peer_client};
pub use client::Client;
pub use connection::{Connection, Payload, request};
pub use error::{Error, Result};
pub use event::Event;
pub use header::header_number;
pub use in_flight::{InFlight, InFlightGuard};
pub use local::{Local, detached, local};
pub use response_memory::ResponseMemory;
pub use server::{
    Listener, ServerLimits, listen, serve, serve_connection, serve_with_shared_limits,
};
pub use signal::{StopSignalGuard, stop_signal};
pub use timer::RuntimeTimer;
pub use uri::uri_component;
