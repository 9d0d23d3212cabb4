//! The upstream pools of all services, updated from the directory.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use discovery::{Directory, Lifecycle, UpstreamEntry};
use routes::{Configuration, Table};
use slog::info;
use upstreams::{Budget, ColdPeriod, Endpoint, Pool, Segment, Shared, Times};

use crate::delegation::{equal_daemons, share_before};
use crate::evacuations::Evacuations;
use crate::settings::RetryBudget;

/// Share of the slack that all daemons together may save up as earned tokens.
const TOKEN_LIMIT_SHARE: f64 = 0.9;
/// As [`TOKEN_LIMIT_SHARE`], if each daemon's share is below one token, so that how
/// many are spent at once is up to chance.
const PARTIAL_TOKEN_LIMIT_SHARE: f64 = 0.75;
/// Connections per upstream of a service that the configuration does not
/// contain yet.
const DEFAULT_CONNECTIONS: usize = 16;
/// Sub-requests that may be queued per slot.
const QUEUE_PER_SLOT: usize = 8;
/// Delay before the daemon count decreases: a daemon that disappears from the
/// directory may only have lost its lease.
const DECREASE_DELAY: Millis = Millis(30_000);

/// The route table, and the upstream pools by service.
pub(crate) struct Fleet {
    shared: Rc<Shared>,
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    table: RefCell<Option<Rc<Table>>>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// Address of this daemon for its peers.
    me: SocketAddr,
    /// See [`equal_daemons`].
    daemons: Cell<f64>,
    counted_at: Cell<Millis>,
    retry_budget: Cell<RetryBudget>,
    evacuations: Evacuations,
}

impl Fleet {
    pub(crate) fn new(shared: &Rc<Shared>, retry_budget: RetryBudget, me: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            pools: RefCell::default(),
            table: RefCell::default(),
            configuration: RefCell::default(),
            me,
            daemons: Cell::new(1.0),
            counted_at: Cell::new(Millis::ZERO),
            retry_budget: Cell::new(retry_budget),
            evacuations: Evacuations::default(),
        })
    }

    /// Returns the current route table; `None` until a configuration has
    /// arrived.
    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    pub(crate) fn retry_budget(&self) -> RetryBudget {
        self.retry_budget.get()
    }

    /// Sets the retry budget: its ratio applies to new requests at once, its slack
    /// from the next update.
    pub(crate) fn set_retry_budget(&self, retry_budget: RetryBudget) {
        self.retry_budget.set(retry_budget);
    }

    /// Returns the number of daemons like this one that share the retry budget, and the
    /// upstreams' connections and rate limits.
    pub(crate) fn daemons(&self) -> f64 {
        self.daemons.get()
    }

    /// Returns the pool of a service.
    pub(crate) fn pool(&self, service: &str) -> Option<Rc<Pool>> {
        self.pools.borrow().get(service).cloned()
    }

    pub(crate) fn pools(&self) -> Vec<Rc<Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    /// Returns the failure domains to whose upstreams nothing is sent.
    pub(crate) fn evacuated(&self) -> Vec<String> {
        self.evacuations.domains().iter().cloned().collect()
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Updates the route table and the pools from the directory.
    pub(crate) fn update(&self, directory: &Directory) {
        self.update_daemons(equal_daemons(directory.instances(), self.me));
        self.update_turns(directory);
        self.update_table(directory);
        self.update_evacuations(directory);
        let mut by_service: HashMap<&str, Vec<&UpstreamEntry>> = HashMap::new();
        for entry in directory.upstreams() {
            by_service.entry(&entry.service).or_default().push(entry);
        }
        for pool in self.pools() {
            if !by_service.contains_key(pool.name.as_str()) {
                pool.install(&[]);
            }
        }
        let cold_ends: HashMap<&str, Millis> = directory.cold_ends().collect();
        for (service, entries) in by_service {
            self.update_service(service, &entries, &cold_ends);
        }
    }

    /// Updates this daemon's share of the limits of cold upstreams. While the number of
    /// daemons is not decreased yet, it is less than its part of those that are registered.
    fn update_turns(&self, directory: &Directory) {
        let segment = Segment {
            start: share_before(directory.instances(), self.me),
            length: 1.0 / self.daemons.get(),
        };
        let limits = &self.shared.cold_limits;
        limits.set_segment(segment, Times::now());
    }

    /// Updates the daemon count: increases apply at once, decreases after
    /// [`DECREASE_DELAY`].
    fn update_daemons(&self, seen: f64) {
        let now = Millis::now();
        let seen = seen.max(1.0);
        let is_recent = now.since(self.counted_at.get()) < DECREASE_DELAY;
        let before = self.daemons.get();
        if seen >= before || !is_recent {
            if seen != before {
                info!(self.shared.log, "daemons counted"; "before" => before, "now" => seen);
            }
            self.daemons.set(seen);
            self.shared
                .rate_limits
                .set_daemons(seen.ceil() as usize, now);
            self.counted_at.set(now);
        }
    }

    fn update_table(&self, directory: &Directory) {
        let Some(configuration) = directory.configuration() else {
            return;
        };
        let known = self.configuration.replace(Some(configuration.clone()));
        if known.is_some_and(|known| Rc::ptr_eq(&known, configuration)) {
            return;
        }
        let position = directory.position();
        info!(self.shared.log, "configuration in force"; "version" => configuration.version,
            "epoch" => position.epoch, "revision" => position.revision,
            "routes" => configuration.routes.len());
        *self.table.borrow_mut() = Some(Rc::new(Table::new(configuration)));
    }

    fn update_evacuations(&self, directory: &Directory) {
        let difference = self.evacuations.replace(directory.evacuated());
        let count = |domain: &str| directory.upstreams().filter(|u| u.domain == domain).count();
        for domain in &difference.started {
            info!(self.shared.log, "failure domain evacuated"; "domain" => domain,
                "upstreams" => count(domain), "revision" => directory.position().revision);
        }
        for domain in &difference.ended {
            info!(self.shared.log, "evacuation ended"; "domain" => domain,
                "upstreams" => count(domain), "revision" => directory.position().revision);
        }
    }

    fn update_service(
        &self,
        service: &str,
        entries: &[&UpstreamEntry],
        cold_ends: &HashMap<&str, Millis>,
    ) {
        let pool = self.get_or_create(service);
        let connections = self.connections(service);
        let cold_rate = self.cold_rate(service);
        let cold = |id: &str| {
            Some(ColdPeriod {
                per_second: cold_rate?,
                until: *cold_ends.get(id)?,
            })
        };
        let endpoint = |entry: &&UpstreamEntry| Endpoint {
            id: entry.id.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            started_at: entry.started_at,
            slots: entry.slots,
            connections,
            is_drained: entry.lifecycle == Lifecycle::Draining,
            is_evacuated: self.evacuations.contains(&entry.domain),
            cold: cold(&entry.id),
        };
        let endpoints: Vec<Endpoint> = entries.iter().map(endpoint).collect();
        let used = endpoints.iter().filter(|e| !e.is_evacuated);
        let slots: usize = used.map(|e| e.slots).sum();
        pool.set_queue_limit(slots * QUEUE_PER_SLOT);
        pool.set_budget_limit(token_limit(self.slack(), self.daemons.get()));
        pool.install(&endpoints);
    }

    fn slack(&self) -> f64 {
        self.retry_budget.get().slack
    }

    /// Returns this daemon's share of the connections to one upstream.
    fn connections(&self, service: &str) -> usize {
        let table = self.table.borrow();
        let limits = table.as_ref().and_then(|t| t.service_limits(service));
        let total = limits.map_or(DEFAULT_CONNECTIONS, |l| l.connections);
        connection_share(total, self.daemons.get())
    }

    /// Returns the rate of requests that cold upstreams of a service take from all daemons
    /// together.
    fn cold_rate(&self, service: &str) -> Option<f64> {
        let table = self.table.borrow();
        table.as_ref()?.service_limits(service)?.cold_rate
    }

    fn get_or_create(&self, service: &str) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        // A daemon that starts has earned nothing: what it replaces may have spent
        // its share just before.
        let create = || {
            let budget = Rc::new(Budget::starting_with(0.0));
            Pool::with_budget(&self.shared, service, budget)
        };
        pools
            .entry(service.to_owned())
            .or_insert_with(create)
            .clone()
    }
}

/// Returns the retry tokens that each of `daemons` daemons may save up: its share
/// of the slack, which may be less than one token.
pub fn token_limit(slack: f64, daemons: f64) -> f64 {
    let share = slack / daemons;
    match share * TOKEN_LIMIT_SHARE {
        limit if limit >= 1.0 => limit,
        _ => share * PARTIAL_TOKEN_LIMIT_SHARE,
    }
}

/// Returns the connections that each of `daemons` daemons may hold to an
/// upstream that accepts `total`, at least one.
pub fn connection_share(total: usize, daemons: f64) -> usize {
    ((total as f64 / daemons) as usize).max(1)
}
