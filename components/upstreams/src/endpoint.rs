//! An upstream before anything is known of its behaviour.

use std::net::SocketAddr;

use clock::Millis;

/// An upstream as configuration or discovery names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Identifier, unique within its service.
    pub id: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Wall-clock time of its start, if known; a restart forgets what was
    /// learned of it.
    pub started_at: Option<Millis>,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Connections that this daemon may hold to it.
    pub connections: usize,
    /// Whether it takes no new work.
    pub is_drained: bool,
}
