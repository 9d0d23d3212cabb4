//! The pools of all services, kept in line with the directory.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use discovery::{Directory, Lifecycle, UpstreamEntry};
use routes::Table;
use slog::info;
use upstreams::{Budget, Endpoint, Pool, Shared};

use crate::settings::Budgets;

/// Share of the slack that the daemons may save up together, from repeats
/// that their requests earned.
const SAVED_SHARE: f64 = 0.9;
/// Share of the slack that all daemons start with together. Both are spent
/// within one window if all daemons restart one after the other.
const STARTING_SHARE: f64 = 0.3;
/// Connections for a service that the configuration doesn't name yet.
const UNNAMED_CONNECTIONS: usize = 16;
/// Sub-requests that may wait for a slot, for each slot.
const QUEUE_PER_SLOT: usize = 8;
/// A daemon that disappears from the list may only have lost its lease.
const INSTANCE_MEMORY: Millis = Millis(30_000);

/// The pools by service.
pub(crate) struct Fleet {
    shared: Rc<Shared>,
    pools: RefCell<HashMap<String, Rc<Pool>>>,
    table: RefCell<Option<Rc<Table>>>,
    table_revision: Cell<u64>,
    daemons: Cell<usize>,
    daemons_at: Cell<Millis>,
    budgets: Cell<Budgets>,
}

impl Fleet {
    pub(crate) fn new(shared: &Rc<Shared>, budgets: Budgets) -> Rc<Self> {
        Rc::new(Self {
            shared: shared.clone(),
            pools: RefCell::default(),
            table: RefCell::default(),
            table_revision: Cell::new(0),
            daemons: Cell::new(1),
            daemons_at: Cell::new(Millis::ZERO),
            budgets: Cell::new(budgets),
        })
    }

    /// The routes in force; `None` until a configuration is known.
    pub(crate) fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    pub(crate) fn budgets(&self) -> Budgets {
        self.budgets.get()
    }

    /// Takes other budgets; they are in force after the next update.
    pub(crate) fn set_budgets(&self, budgets: Budgets) {
        self.budgets.set(budgets);
    }

    /// Daemons that share the budgets.
    pub(crate) fn daemons(&self) -> usize {
        self.daemons.get()
    }

    /// The pool of a service.
    pub(crate) fn find(&self, service: &str) -> Option<Rc<Pool>> {
        self.pools.borrow().get(service).cloned()
    }

    pub(crate) fn all(&self) -> Vec<Rc<Pool>> {
        self.pools.borrow().values().cloned().collect()
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Brings the routes and the pools in line with the directory.
    pub(crate) fn update(&self, directory: &Directory) {
        self.count_daemons(directory.instances().count());
        self.install_table(directory);
        let mut by_service: HashMap<&str, Vec<&UpstreamEntry>> = HashMap::new();
        for entry in directory.upstreams() {
            by_service.entry(&entry.service).or_default().push(entry);
        }
        for pool in self.all() {
            if !by_service.contains_key(pool.name.as_str()) {
                pool.install(&[]);
            }
        }
        for (service, entries) in by_service {
            self.install_service(service, &entries);
        }
    }

    /// Daemons that share the budgets: at once more, but only later less.
    fn count_daemons(&self, seen: usize) {
        let now = Millis::now();
        let seen = seen.max(1);
        let is_remembered = now.since(self.daemons_at.get()) < INSTANCE_MEMORY;
        let before = self.daemons.get();
        if seen >= before || !is_remembered {
            if seen != before {
                info!(self.shared.log, "daemons counted"; "before" => before, "now" => seen);
            }
            self.daemons.set(seen);
            self.daemons_at.set(now);
        }
    }

    fn install_table(&self, directory: &Directory) {
        let Some((revision, configuration)) = directory.configuration() else {
            return;
        };
        if revision == self.table_revision.get() {
            return;
        }
        info!(self.shared.log, "configuration in force"; "version" => configuration.version,
            "revision" => revision, "routes" => configuration.routes.len());
        self.table_revision.set(revision);
        *self.table.borrow_mut() = Some(Rc::new(Table::new(&configuration)));
    }

    fn install_service(&self, service: &str, entries: &[&UpstreamEntry]) {
        let pool = self.ensure(service);
        let connections = self.connections(service);
        let endpoint = |entry: &&UpstreamEntry| Endpoint {
            id: entry.id.clone(),
            address: entry.address,
            domain: entry.domain.clone(),
            started_at: entry.born,
            slots: entry.slots,
            connections,
            is_drained: entry.lifecycle == Lifecycle::Draining,
        };
        let endpoints: Vec<Endpoint> = entries.iter().map(endpoint).collect();
        let slots: usize = endpoints.iter().map(|e| e.slots).sum();
        pool.set_queue_limit(slots * QUEUE_PER_SLOT);
        pool.set_budget_limit(savings_limit(self.slack(), self.daemons.get()));
        pool.install(&endpoints);
    }

    fn slack(&self) -> f64 {
        self.budgets.get().slack
    }

    /// The connections to one upstream that are this daemon's share.
    fn connections(&self, service: &str) -> usize {
        let table = self.table.borrow();
        let limits = table.as_ref().and_then(|t| t.service(service));
        let all = limits.map_or(UNNAMED_CONNECTIONS, |l| l.connections);
        connection_share(all, self.daemons.get())
    }

    fn ensure(&self, service: &str) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let create = || {
            let tokens = starting_tokens(self.slack(), self.daemons.get());
            let budget = Rc::new(Budget::starting_with(tokens));
            Pool::with_budget(&self.shared, service, budget)
        };
        pools
            .entry(service.to_owned())
            .or_insert_with(create)
            .clone()
    }
}

/// The tokens that one of some daemons may save up. Where that share of the
/// slack is less than one repeat, each may still save up one, which its own
/// requests must earn.
pub fn savings_limit(slack: f64, daemons: usize) -> f64 {
    (slack * SAVED_SHARE / daemons as f64).max(1.0)
}

/// The tokens that one of some daemons starts with.
pub fn starting_tokens(slack: f64, daemons: usize) -> f64 {
    slack * STARTING_SHARE / daemons as f64
}

/// The connections to one upstream that one of some daemons may hold.
pub fn connection_share(all: usize, daemons: usize) -> usize {
    (all / daemons).max(1)
}
