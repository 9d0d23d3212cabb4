//! The state of pools and upstreams for the state dump.

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
    /// Whether this daemon owns it; every daemon owns all without owners.
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

/// What is asked of an upstream now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It gets requests.
    Serving,
    /// It failed lately and rests.
    Resting,
    /// It takes no new work.
    Leaving,
}

impl UpstreamState {
    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            UpstreamState::Serving => "serving",
            UpstreamState::Resting => "resting",
            UpstreamState::Leaving => "leaving",
        }
    }
}

impl UpstreamView {
    fn new(upstream: &Upstream, is_owned: bool, takes_work: bool, usual_ms: f64) -> Self {
        let now = Millis::now();
        let health = upstream.health.borrow().clone();
        Self {
            name: upstream.name.clone(),
            owned: is_owned,
            leaving: !takes_work,
            tier: health.tier(now),
            busy: upstream.busy(),
            limit: upstream.limit(),
            open: upstream.open.get(),
            connections: upstream.connections.get(),
            mean_ms: upstream.pace.borrow().mean_ms(usual_ms, now),
            health,
        }
    }

    /// What is asked of the upstream now.
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

    /// Sub-requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Hedges and retries that may be sent now.
    pub fn extra_tokens(&self) -> f64 {
        self.hedges.tokens()
    }

    fn views(&self, is_owned: impl Fn(&Upstream) -> bool) -> Vec<UpstreamView> {
        let usual = self.latency.borrow().mean_ms();
        let view = |(key, upstream): (UpstreamKey, Rc<Upstream>)| {
            UpstreamView::new(&upstream, is_owned(&upstream), self.takes_work(key), usual)
        };
        self.keyed().into_iter().map(view).collect()
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
