//! An upstream as configured, without measured state.

use std::net::SocketAddr;

use clock::Millis;

use crate::cold_limits::ColdPeriod;

/// An upstream as configuration or discovery provides it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifier, unique within its service.
    pub id: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Wall-clock time of its start, if known; an upstream with another time
    /// starts without measured latency and health.
    pub started_at: Option<Millis>,
    /// Requests that it can run at the same time.
    pub slots: usize,
    /// Connections that this daemon may open to it.
    pub connections: usize,
    /// Whether it gets no new requests.
    pub is_drained: bool,
    /// Whether nothing is sent to it because its failure domain is evacuated.
    pub is_evacuated: bool,
    /// For how long it takes fewer requests, if that is limited.
    pub cold: Option<ColdPeriod>,
}
