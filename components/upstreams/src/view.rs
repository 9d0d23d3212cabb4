//! The state of pools and upstreams for the state dump.

use clock::Millis;
use serde::Serialize;

use crate::call::HEDGE_QUANTILE;
use crate::health::{Health, Tier};
use crate::service::Service;

/// The state of one service's pool.
#[derive(Debug, Serialize)]
pub struct PoolView {
    /// Name of the service.
    pub service: String,
    /// Sub-requests that wait for a slot.
    pub queue: usize,
    /// Moving average of the latency of sub-requests, in milliseconds.
    pub mean_ms: f64,
    /// Time after which a sub-request is hedged, once it is learned.
    pub hedge_ms: Option<Millis>,
    /// Hedges that may be sent now.
    pub hedge_tokens: f64,
    /// Retries that may be sent now.
    pub retry_tokens: f64,
    /// The upstreams.
    pub upstreams: Vec<UpstreamView>,
}

/// The state of one upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamView {
    /// Name of the upstream.
    pub name: String,
    /// Whether this daemon owns it.
    pub owned: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How much it is preferred.
    pub tier: Tier,
    /// Slots in use.
    pub busy: usize,
    /// Requests that may run at a time now.
    pub limit: usize,
    /// Open connections.
    pub open: usize,
    /// Connections that may be open.
    pub connections: usize,
    /// Moving average of its latency, in milliseconds.
    pub mean_ms: f64,
    health: Health,
}

impl Service {
    /// Returns the state of this service.
    pub fn view(&self) -> PoolView {
        let now = Millis::now();
        let upstreams = self.upstreams().into_iter().map(|u| UpstreamView {
            name: u.name.clone(),
            owned: self.is_owned(&u),
            leaving: u.is_drained.get() || self.shared.drains.is_leaving(&u.id),
            tier: u.health.borrow().tier(now),
            busy: u.busy(),
            limit: u.limit(),
            open: u.open.get(),
            connections: u.connections.get(),
            mean_ms: u.latency.borrow().mean_ms(),
            health: u.health.borrow().clone(),
        });
        PoolView {
            service: self.topology().service.name.clone(),
            queue: self.queue.len(),
            mean_ms: self.latency.borrow().mean_ms(),
            hedge_ms: self.latency.borrow().quantile(HEDGE_QUANTILE),
            hedge_tokens: self.hedges.tokens(),
            retry_tokens: self.retries.tokens(),
            upstreams: upstreams.collect(),
        }
    }
}
