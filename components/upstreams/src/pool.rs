//! The upstreams of each service, kept across revisions.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use catalog::{Catalog, Topology, upstream_connections};
use clock::Millis;
use compio::runtime::JoinHandle;
use slog::Logger;
use slotmap::SlotMap;

use crate::budget::Budget;
use crate::drains::Drains;
use crate::latency::Latency;
use crate::probe;
use crate::queue::Queue;
use crate::suspects::Suspects;
use crate::upstream::{Upstream, UpstreamKey};

// Requests that were planned on the previous shard map finish within this.
const RETIRED_LIFE: Millis = Millis(30_000);

/// Tells whether this daemon owns a group of a topology.
pub type OwnsGroup = dyn Fn(&Topology, usize) -> bool;

/// What all pools of a daemon share.
pub struct Shared {
    /// Marks of leaving upstreams.
    pub drains: Drains,
    /// Requests that may crash upstreams.
    pub suspects: Suspects,
    /// Called when there is news that peers should hear at once.
    pub news: RefCell<Option<Rc<dyn Fn()>>>,
    /// Whether this daemon owns a group, by the key of the group.
    pub owns: RefCell<Option<Rc<OwnsGroup>>>,
    /// The log.
    pub log: Logger,
}

impl Shared {
    /// Returns the state that a new daemon starts with.
    pub fn new(log: &Logger) -> Rc<Self> {
        Rc::new(Self {
            drains: Drains::default(),
            suspects: Suspects::default(),
            news: RefCell::default(),
            owns: RefCell::default(),
            log: log.clone(),
        })
    }

    pub(crate) fn tell_news(&self) {
        let news = self.news.borrow().clone();
        if let Some(tell) = news {
            tell();
        }
    }

    pub(crate) fn is_owned(&self, topology: &Topology, group: usize) -> bool {
        let owns = self.owns.borrow().clone();
        owns.is_none_or(|owns| owns(topology, group))
    }
}

/// The shards that can be served at one snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Label of the shard map.
    pub partitioning: String,
    /// Number of the snapshot.
    pub snapshot: u64,
    /// Names of the shards.
    pub shards: Vec<String>,
}

/// The upstreams of one service.
pub struct Pool {
    pub(crate) shared: Rc<Shared>,
    topology: RefCell<Rc<Topology>>,
    retired: RefCell<Vec<(Millis, Rc<Topology>)>>,
    pub(crate) upstreams: RefCell<SlotMap<UpstreamKey, Rc<Upstream>>>,
    probes: RefCell<HashMap<UpstreamKey, JoinHandle<()>>>,
    names: RefCell<HashMap<String, UpstreamKey>>,
    pub(crate) queue: Queue,
    pub(crate) queue_limit: Cell<usize>,
    pub(crate) latency: RefCell<Latency>,
    pub(crate) hedges: Budget,
    pub(crate) retries: Budget,
}

impl Pool {
    fn new(shared: &Rc<Shared>, topology: &Rc<Topology>) -> Rc<Self> {
        let pool = Rc::new(Self {
            shared: shared.clone(),
            topology: RefCell::new(topology.clone()),
            retired: RefCell::default(),
            upstreams: RefCell::default(),
            probes: RefCell::default(),
            names: RefCell::default(),
            queue: Queue::default(),
            queue_limit: Cell::new(0),
            latency: RefCell::default(),
            hedges: Budget::default(),
            retries: Budget::default(),
        });
        pool.install(topology);
        pool
    }

    /// The current topology.
    pub fn topology(&self) -> Rc<Topology> {
        self.topology.borrow().clone()
    }

    /// Finds the topology, current or just retired, of a shard map.
    pub fn find_topology(&self, partitioning: &str) -> Option<Rc<Topology>> {
        let current = self.topology();
        if current.service.partitioning == partitioning {
            return Some(current);
        }
        let now = Millis::now();
        let retired = self.retired.borrow();
        let valid = retired
            .iter()
            .rev()
            .filter(|(at, _)| now.since(*at) < RETIRED_LIFE);
        let mut matching = valid.filter(|(_, t)| t.service.partitioning == partitioning);
        matching.next().map(|(_, t)| t.clone())
    }

    fn update(self: &Rc<Self>, topology: &Rc<Topology>) {
        let previous = self.topology.replace(topology.clone());
        if previous.service.partitioning != topology.service.partitioning {
            let now = Millis::now();
            let mut retired = self.retired.borrow_mut();
            retired.retain(|(at, _)| now.since(*at) < RETIRED_LIFE);
            retired.push((now, previous));
        }
        self.install(topology);
        // The upstreams may hold other snapshots of the new shard map.
        self.upstreams
            .borrow()
            .values()
            .for_each(|u| u.request_poll());
    }

    /// Brings the upstreams in line with a topology; those that stay keep
    /// their connections and what was learned of them.
    fn install(self: &Rc<Self>, topology: &Rc<Topology>) {
        let service = &topology.service;
        self.queue_limit.set(service.queue);
        let declared: HashMap<&str, &catalog::Upstream> = service
            .upstreams
            .iter()
            .map(|u| (u.name.as_str(), u))
            .collect();
        let is_kept = |u: &Upstream| {
            declared
                .get(u.name.as_str())
                .is_some_and(|d| d.address == u.address && d.domain == u.domain)
        };
        let gone: Vec<(UpstreamKey, String)> = {
            let upstreams = self.upstreams.borrow();
            upstreams
                .iter()
                .filter(|(_, u)| !is_kept(u))
                .map(|(k, u)| (k, u.name.clone()))
                .collect()
        };
        for (key, name) in gone {
            self.upstreams.borrow_mut().remove(key);
            self.probes.borrow_mut().remove(&key);
            self.names.borrow_mut().remove(&name);
        }
        for declared in &service.upstreams {
            let key = self.ensure(&service.name, declared);
            let Some(upstream) = self.find(key) else {
                continue;
            };
            upstream.slots.set(service.slots);
            upstream.connections.set(upstream_connections(service));
            upstream.is_drained.set(declared.drain);
        }
        self.clone().pump();
    }

    fn ensure(self: &Rc<Self>, service: &str, declared: &catalog::Upstream) -> UpstreamKey {
        if let Some(&key) = self.names.borrow().get(&declared.name) {
            return key;
        }
        let upstream = Rc::new(Upstream::new(service, declared));
        let key = self.upstreams.borrow_mut().insert(upstream.clone());
        self.names.borrow_mut().insert(declared.name.clone(), key);
        let probe = compio::runtime::spawn(probe::run(Rc::downgrade(self), upstream));
        self.probes.borrow_mut().insert(key, probe);
        key
    }

    pub(crate) fn find(&self, key: UpstreamKey) -> Option<Rc<Upstream>> {
        self.upstreams.borrow().get(key).cloned()
    }

    pub(crate) fn upstreams(&self) -> Vec<Rc<Upstream>> {
        self.upstreams.borrow().values().cloned().collect()
    }

    /// Returns the keys of a shard's replicas.
    pub(crate) fn replicas(&self, topology: &Topology, shard: usize) -> Vec<UpstreamKey> {
        let names = self.names.borrow();
        let declared = topology.replicas[shard]
            .iter()
            .map(|&u| &topology.service.upstreams[u].name);
        declared
            .filter_map(|name| names.get(name).copied())
            .collect()
    }

    /// Whether an upstream takes new work at all.
    pub(crate) fn takes_work(&self, key: UpstreamKey) -> bool {
        let upstream = self.find(key);
        upstream.is_some_and(|u| !u.is_drained.get() && !self.shared.drains.is_leaving(&u.id))
    }

    /// Whether this daemon owns the group of an upstream.
    pub(crate) fn is_owned(&self, upstream: &Upstream) -> bool {
        let topology = self.topology();
        let index = topology
            .service
            .upstreams
            .iter()
            .position(|u| u.name == upstream.name);
        let group = topology
            .groups
            .iter()
            .position(|g| index.is_some_and(|i| g.upstreams.contains(&i)));
        group.is_some_and(|g| self.shared.is_owned(&topology, g))
    }

    /// Whether any slot is in use.
    pub fn is_busy(&self) -> bool {
        self.upstreams.borrow().values().any(|u| u.busy() > 0)
    }

    /// Returns the snapshots that the replicas of some shards hold.
    pub fn holdings(&self, topology: &Topology, shards: &[usize]) -> Vec<Holding> {
        let mut map: BTreeMap<(String, u64), Vec<String>> = BTreeMap::new();
        for &shard in shards {
            let name = &topology.service.shards[shard].name;
            for version in self.versions_of(topology, shard) {
                map.entry(version).or_default().push(name.clone());
            }
        }
        let holding = |((partitioning, snapshot), shards)| Holding {
            partitioning,
            snapshot,
            shards,
        };
        map.into_iter().map(holding).collect()
    }

    fn versions_of(&self, topology: &Topology, shard: usize) -> Vec<(String, u64)> {
        let mut versions = Vec::new();
        let keys = self.replicas(topology, shard);
        for upstream in keys
            .iter()
            .filter(|&&k| self.takes_work(k))
            .filter_map(|&k| self.find(k))
        {
            let health = upstream.health.borrow();
            let held = health
                .holds
                .iter()
                .flatten()
                .map(|h| (h.partitioning.clone(), h.snapshot));
            versions.extend(held);
        }
        versions.sort();
        versions.dedup();
        versions
    }

    /// The time that new sub-requests would wait for a slot, in
    /// milliseconds, if `more` of them came now.
    pub fn expected_wait(&self, candidates: &[UpstreamKey], more: usize) -> f64 {
        let upstreams: Vec<Rc<Upstream>> =
            candidates.iter().filter_map(|&k| self.find(k)).collect();
        let slots: usize = upstreams.iter().map(|u| u.limit()).sum();
        let busy: usize = upstreams.iter().map(|u| u.busy()).sum();
        let ahead = (busy + self.queue.len() + more).saturating_sub(slots);
        match slots {
            0 => 0.0,
            _ => ahead as f64 / slots as f64 * self.latency.borrow().mean_ms(),
        }
    }
}

/// The pools of all services.
pub struct Pools {
    /// What the pools share.
    pub shared: Rc<Shared>,
    pools: RefCell<BTreeMap<String, Rc<Pool>>>,
}

impl Pools {
    /// Returns no pools yet.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            pools: RefCell::default(),
        }
    }

    /// Brings all pools in line with a revision.
    pub fn install(&self, catalog: &Catalog) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|name, _| catalog.services.contains_key(name));
        for (name, topology) in &catalog.services {
            match pools.get(name) {
                Some(pool) if Rc::ptr_eq(&pool.topology(), topology) => {}
                Some(pool) => pool.update(topology),
                None => {
                    pools.insert(name.clone(), Pool::new(&self.shared, topology));
                }
            }
        }
    }

    /// Finds the pool of a service.
    pub fn find(&self, service: &str) -> Option<Rc<Pool>> {
        self.pools.borrow().get(service).cloned()
    }

    /// Returns all pools.
    pub fn all(&self) -> Vec<Rc<Pool>> {
        self.pools.borrow().values().cloned().collect()
    }
}
