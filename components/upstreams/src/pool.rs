//! The pool of upstreams of one service; upstreams stay across changes of the
//! set.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use clock::Millis;
use slotmap::SlotMap;
use telemetry::names;

use crate::budget::Budget;
use crate::cold_limits::Times;
use crate::endpoint::Endpoint;
use crate::latency::Latency;
use crate::queue::Queue;
use crate::shared::Shared;
use crate::upstream::{Upstream, UpstreamKey};

/// The pool of upstreams of one service.
pub struct Pool {
    pub(crate) shared: Rc<Shared>,
    /// Name of the service.
    pub name: String,
    upstreams: RefCell<SlotMap<UpstreamKey, Rc<Upstream>>>,
    keys: RefCell<HashMap<String, UpstreamKey>>,
    pub(crate) queue: Queue,
    /// Fingerprints of suspects that hold a slot.
    pub(crate) placed_suspects: RefCell<HashSet<u64>>,
    pub(crate) queue_limit: Cell<usize>,
    pub(crate) latency: RefCell<Latency>,
    pub(crate) hedges: Rc<Budget>,
    pub(crate) retries: Rc<Budget>,
    pub(crate) attempt_seconds: AttemptSeconds,
}

/// Histograms of the duration of attempts, by outcome.
pub(crate) struct AttemptSeconds {
    pub(crate) answered: metrics::Histogram,
    pub(crate) failed: metrics::Histogram,
}

impl AttemptSeconds {
    fn new(service: &str) -> Self {
        let histogram = |outcome: &'static str| {
            let service = service.to_owned();
            metrics::histogram!(names::ATTEMPT_SECONDS, "service" => service, "outcome" => outcome)
        };
        Self {
            answered: histogram("answered"),
            failed: histogram("failed"),
        }
    }
}

impl Pool {
    /// Returns a pool without upstreams, with a budget for hedges and one for
    /// retries.
    pub fn new(shared: &Rc<Shared>, name: &str) -> Rc<Self> {
        Self::build(shared, name, Rc::default(), Rc::default())
    }

    /// Returns a pool without upstreams whose hedges and retries share a
    /// budget.
    pub fn with_budget(shared: &Rc<Shared>, name: &str, budget: Rc<Budget>) -> Rc<Self> {
        Self::build(shared, name, budget.clone(), budget)
    }

    fn build(shared: &Rc<Shared>, name: &str, hedges: Rc<Budget>, retries: Rc<Budget>) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            name: name.to_owned(),
            upstreams: RefCell::default(),
            keys: RefCell::default(),
            queue: Queue::default(),
            placed_suspects: RefCell::default(),
            queue_limit: Cell::new(0),
            latency: RefCell::default(),
            hedges,
            retries,
            attempt_seconds: AttemptSeconds::new(name),
        })
    }

    /// Returns the state that all pools of the daemon share.
    pub fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }

    /// Bounds the number of sub-requests that may wait for a slot.
    pub fn set_queue_limit(&self, limit: usize) {
        self.queue_limit.set(limit);
    }

    /// Bounds the tokens that each budget may hold.
    pub fn set_budget_limit(&self, tokens: f64) {
        self.hedges.set_limit(tokens);
        self.retries.set_limit(tokens);
    }

    pub(crate) fn replace_upstreams(&self, endpoints: &[Endpoint]) {
        let by_id: HashMap<&str, &Endpoint> =
            endpoints.iter().map(|e| (e.id.as_str(), e)).collect();
        self.upstreams.borrow_mut().retain(|_, u| {
            let endpoint = by_id.get(u.name.as_str());
            let is_kept = endpoint.is_some_and(|e| u.is_same_process(e));
            // Running requests and the memory of silent ones can keep it.
            u.is_removed.set(!is_kept);
            is_kept
        });
        self.keys
            .borrow_mut()
            .retain(|_, key| self.upstreams.borrow().contains_key(*key));
        for endpoint in endpoints {
            let upstream = self.ensure(endpoint);
            upstream.slots.set(endpoint.slots);
            upstream.connections.set(endpoint.connections);
            upstream.is_drained.set(endpoint.is_drained);
            upstream.is_evacuated.set(endpoint.is_evacuated);
            self.set_cold(&upstream, endpoint);
        }
    }

    fn set_cold(&self, upstream: &Upstream, endpoint: &Endpoint) {
        let limits = &self.shared.cold_limits;
        if endpoint.cold.is_none() && limits.is_empty() {
            return;
        }
        let now = Times::now();
        let is_new = limits.set(&upstream.process, endpoint.cold, now);
        if let Some(period) = endpoint.cold.filter(|_| is_new) {
            self.shared.log_limiter.write(|| {
                slog::info!(self.shared.log, "upstream is cold"; "upstream" => &upstream.id,
                    "per_second" => period.per_second, "left_ms" => period.until.since(now.boot).0);
            });
        }
    }

    fn ensure(&self, endpoint: &Endpoint) -> Rc<Upstream> {
        if let Some(known) = self.key_of(&endpoint.id).and_then(|key| self.find(key)) {
            return known;
        }
        let upstream = Rc::new(Upstream::new(&self.name, endpoint, &self.shared.config));
        self.shared.upstreams.add(&upstream);
        let key = self.upstreams.borrow_mut().insert(upstream.clone());
        self.keys.borrow_mut().insert(endpoint.id.clone(), key);
        self.shared.record_start(&upstream);
        upstream
    }

    pub(crate) fn key_of(&self, id: &str) -> Option<UpstreamKey> {
        self.keys.borrow().get(id).copied()
    }

    /// Finds an upstream by its key.
    pub fn find(&self, key: UpstreamKey) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(key).cloned()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> Vec<Rc<Upstream>> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Returns the keys of all upstreams.
    pub fn keys(&self) -> Vec<UpstreamKey> {
        self.upstreams.borrow().keys().collect()
    }

    pub(crate) fn entries(&self) -> Vec<(UpstreamKey, Rc<Upstream>)> {
        let upstreams = self.upstreams.borrow();
        upstreams.iter().map(|(k, u)| (k, u.clone())).collect()
    }

    /// Whether an upstream accepts new requests: it is [staying](Pool::is_staying),
    /// and has not asked this daemon to back off.
    pub(crate) fn is_available(&self, key: UpstreamKey) -> bool {
        let backoffs = &self.shared.backoffs;
        let has_backoff = |u: Rc<Upstream>| backoffs.time_left(&u.process, Millis::now()).0 > 0;
        let is_backing_off = !backoffs.is_empty() && self.find(key).is_some_and(has_backoff);
        !is_backing_off && self.is_staying(key)
    }

    /// Whether an upstream is in the pool, not drained, not evacuated, not replaced and
    /// not leaving.
    pub(crate) fn is_staying(&self, key: UpstreamKey) -> bool {
        let upstream = self.find(key);
        upstream.is_some_and(|u| {
            let is_removed = u.is_drained.get() || u.is_evacuated.get() || u.is_replaced.get();
            !is_removed && !self.shared.drains.is_leaving(&u.process)
        })
    }

    /// Whether an upstream is leaving, or has left the pool.
    pub(crate) fn expects_end(&self, upstream: &Rc<Upstream>) -> bool {
        let key = self.key_of(&upstream.name).filter(|key| {
            let present = self.find(*key);
            present.is_some_and(|u| Rc::ptr_eq(&u, upstream))
        });
        !key.is_some_and(|key| self.is_staying(key))
    }

    /// Whether evacuations leave no upstream that takes requests.
    pub fn is_evacuated(&self) -> bool {
        let all = self.entries();
        let is_any = all.iter().any(|(_, u)| u.is_evacuated.get());
        is_any && !all.iter().any(|(key, _)| self.is_staying(*key))
    }

    /// Returns the time until an upstream accepts requests again, zero if one does;
    /// `None` if none stays.
    pub fn shortest_backoff(&self, now: Millis) -> Option<Millis> {
        let staying = self.entries().into_iter();
        let staying = staying.filter(|(key, _)| self.is_staying(*key));
        let left = staying.map(|(_, u)| self.shared.backoffs.time_left(&u.process, now));
        left.min()
    }

    /// Whether any slot is in use.
    pub fn is_busy(&self) -> bool {
        self.upstreams.borrow().values().any(|u| u.busy() > 0)
    }

    /// Returns how long `more` new sub-requests would wait for a slot, in
    /// milliseconds.
    pub fn expected_wait(&self, candidates: &[UpstreamKey], more: usize) -> f64 {
        let known = candidates.iter().filter_map(|&k| self.find(k));
        let upstreams: Vec<Rc<Upstream>> = known.filter(|u| !u.is_evacuated.get()).collect();
        let slots: usize = upstreams.iter().map(|u| u.limit()).sum();
        let busy: usize = upstreams.iter().map(|u| u.busy()).sum();
        let ahead = (busy + self.queue.len() + more).saturating_sub(slots);
        match slots {
            0 => 0.0,
            _ => ahead as f64 / slots as f64 * self.latency.borrow().mean_ms(),
        }
    }
}
