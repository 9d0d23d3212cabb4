//! Settings of a gateway process.

use std::net::SocketAddr;

use clock::Millis;
use quota::Margin;
use upstreams::ColdBounds;

/// Settings of one gateway daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this daemon.
    pub instance: String,
    /// Failure domain of this daemon.
    pub domain: String,
    /// Processor of this daemon, in thousandths of a core; 0 if it is not known.
    pub millicores: u32,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Listen address for other daemons.
    pub peer_address: SocketAddr,
    /// Listen address for metrics and state.
    pub metrics_address: SocketAddr,
    /// Peers to poll besides the registered ones while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// How often upstreams write their records; zero if unknown.
    pub heartbeat: Millis,
    /// Time from a stop signal until the process is killed.
    pub grace_period: Millis,
    /// Limit on the extra load that all daemons together may cause.
    pub retry_budget: RetryBudget,
    /// What workspaces may exceed their quotas by.
    pub quota_margin: Margin,
    /// What a cold upstream may get from all daemons together.
    pub cold_bounds: ColdBounds,
}

/// Limit on the hedges and retries that all daemons together may send to one
/// service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Extra sub-requests per regular sub-request.
    pub ratio: f64,
    /// Extra sub-requests per window beyond the ratio.
    pub slack: f64,
}
