//! The state of pools and upstreams for the state dump.

use std::collections::BTreeMap;
use std::rc::Rc;

use clock::Millis;
use serde::Serialize;

use crate::call::HEDGE_QUANTILE;
use crate::health::{Health, Tier};
use crate::pool::Pool;
use crate::service::Service;
use crate::upstream::{Upstream, UpstreamKey};

/// The state of one service's pool.
#[derive(Debug, Serialize)]
pub struct PoolView {
    /// Name of the service.
    pub service: String,
    /// Sub-requests that wait for a slot.
    pub queue: usize,
    /// Moving average of the latency of sub-requests, in milliseconds.
    pub mean_ms: f64,
    /// Time after which a sub-request is hedged, once it is measured.
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
    /// Whether this daemon owns it; always true if groups have no owners.
    pub owned: bool,
    /// Whether it is unavailable for new requests.
    pub leaving: bool,
    /// Whether nothing is sent to it because its failure domain is evacuated.
    pub evacuated: bool,
    /// How much it is preferred.
    pub tier: Tier,
    /// Slots in use.
    pub busy: usize,
    /// Requests that may run at the same time now.
    pub limit: usize,
    /// Open connections.
    pub open: usize,
    /// Connections that may be open.
    pub connections: usize,
    /// Requests a second that it takes from all daemons together, if it names a limit.
    pub rate_limit: Option<f64>,
    /// Whether it is cold and gets fewer requests for that.
    pub is_cold: bool,
    /// Moving average of its latency, in milliseconds.
    pub mean_ms: f64,
    health: Health,
}

/// Whether an upstream gets requests now, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It gets requests.
    Serving,
    /// It is ejected after failures or slow answers.
    Resting,
    /// It gets no new requests.
    Leaving,
}

impl UpstreamState {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            UpstreamState::Serving => "serving",
            UpstreamState::Resting => "resting",
            UpstreamState::Leaving => "leaving",
        }
    }
}

impl UpstreamView {
    fn new(upstream: &Upstream, is_owned: bool, is_available: bool, pool_mean_ms: f64) -> Self {
        let now = Millis::now();
        let health = upstream.health.borrow().clone();
        Self {
            name: upstream.name.clone(),
            owned: is_owned,
            leaving: !is_available,
            evacuated: upstream.is_evacuated.get(),
            tier: health.tier(now),
            busy: upstream.busy(),
            limit: upstream.limit(),
            open: upstream.open.get(),
            connections: upstream.connections.get(),
            rate_limit: None,
            is_cold: false,
            mean_ms: upstream.latency.borrow().mean_ms(pool_mean_ms, now),
            health,
        }
    }

    /// Returns whether the upstream gets requests now.
    pub fn state(&self) -> UpstreamState {
        match self.tier {
            _ if self.leaving => UpstreamState::Leaving,
            Tier::Ejected => UpstreamState::Resting,
            Tier::Good | Tier::Poor => UpstreamState::Serving,
        }
    }
}

impl Pool {
    /// Returns the state of all upstreams.
    pub fn upstream_views(&self) -> Vec<UpstreamView> {
        self.views(|_| true)
    }

    /// Returns the number of sub-requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of sub-requests of each rank that wait for a slot.
    pub fn queued_by_rank(&self) -> BTreeMap<u8, usize> {
        self.queue.count_by_rank()
    }

    /// Returns the hedges that may be sent now; with a shared budget also the
    /// retries.
    pub fn extra_tokens(&self) -> f64 {
        self.hedges.tokens()
    }

    fn views(&self, is_owned: impl Fn(&Upstream) -> bool) -> Vec<UpstreamView> {
        let pool_mean_ms = self.latency.borrow().mean_ms();
        let boot = Millis::since_boot();
        let view = |(key, upstream): (UpstreamKey, Rc<Upstream>)| {
            let is_available = self.is_available(key);
            let view =
                UpstreamView::new(&upstream, is_owned(&upstream), is_available, pool_mean_ms);
            UpstreamView {
                rate_limit: self.shared.rate_limits.per_second(&upstream.process),
                is_cold: self.shared.cold_limits.is_cold(&upstream.process, boot),
                ..view
            }
        };
        self.entries().into_iter().map(view).collect()
    }
}

impl Service {
    /// Returns the state of this service.
    pub fn view(&self) -> PoolView {
        PoolView {
            service: self.topology().service.name.clone(),
            queue: self.queue.len(),
            mean_ms: self.latency.borrow().mean_ms(),
            hedge_ms: self.latency.borrow().quantile(HEDGE_QUANTILE),
            hedge_tokens: self.hedges.tokens(),
            retry_tokens: self.retries.tokens(),
            upstreams: self.views(|u| self.is_owned(u)),
        }
    }
}
