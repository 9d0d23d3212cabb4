//! The state dump of a gateway.

use std::collections::BTreeMap;

use clock::Millis;
use quota::BucketView;
use serde::Serialize;
use upstreams::UpstreamView;

use crate::route_limiters::LimitView;
use crate::state::Gateway;

/// The state of a gateway, with the age of its data from the store.
#[derive(Serialize)]
pub(crate) struct StateView {
    instance: String,
    leaving: bool,
    version: u64,
    epoch: u64,
    revision: u64,
    store_age_ms: Millis,
    /// Daemons like this one that share budgets and connections, rounded.
    daemons: usize,
    /// Failure domains to whose upstreams nothing is sent.
    evacuated: Vec<String>,
    in_flight: usize,
    limits: Vec<LimitView>,
    services: Vec<ServiceView>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    quotas: Vec<QuotaView>,
}

/// A workspace with a quota and recent traffic.
#[derive(Serialize)]
pub(crate) struct QuotaView {
    pub(crate) workspace: String,
    pub(crate) tokens: u64,
    pub(crate) share_per_s: f64,
    pub(crate) allocator: Option<String>,
    /// Present if this daemon is the allocator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) bucket: Option<BucketView>,
}

#[derive(Serialize)]
struct ServiceView {
    service: String,
    queued: usize,
    queued_by_rank: BTreeMap<u8, usize>,
    extra_tokens: f64,
    upstreams: Vec<UpstreamView>,
}

impl StateView {
    pub(crate) fn new(gateway: &Gateway) -> Self {
        let pools = gateway.fleet.pools();
        let position = gateway.directory.borrow().position();
        let service = |pool: &std::rc::Rc<upstreams::Pool>| ServiceView {
            service: pool.name.clone(),
            queued: pool.queued(),
            queued_by_rank: pool.queued_by_rank(),
            extra_tokens: pool.extra_tokens(),
            upstreams: pool.upstream_views(),
        };
        Self {
            instance: gateway.settings.borrow().instance.clone(),
            leaving: gateway.is_leaving(),
            version: gateway.fleet.table().map_or(0, |t| t.version),
            epoch: position.epoch,
            revision: position.revision,
            store_age_ms: gateway.follower.store_age(Millis::now()),
            daemons: gateway.fleet.daemons().round() as usize,
            evacuated: gateway.fleet.evacuated(),
            in_flight: gateway.in_flight.count(),
            limits: gateway.limiters.limits(),
            services: pools.iter().map(service).collect(),
            quotas: gateway.quotas.views(),
        }
    }
}
