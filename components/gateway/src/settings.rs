//! What a gateway is told about its place in the system.

use std::net::SocketAddr;

use clock::Millis;

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub instance: String,
    /// Failure domain of this daemon.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer asks whether this daemon is ready.
    pub ready_address: SocketAddr,
    /// Path of that question.
    pub ready_path: String,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Peers to ask while no registration is known.
    pub seeds: Vec<SocketAddr>,
    /// Time from a signal to stop until the process is killed.
    pub grace_period: Millis,
    /// Extra load that all daemons together may cause.
    pub retry_budget: RetryBudget,
}

/// Extra load that all daemons together may cause at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Extra sub-requests for each needed one.
    pub ratio: f64,
    /// Extra sub-requests in a window beyond the ratio.
    pub slack: f64,
}
