//! Services of the native interface: pools that follow the declared topologies,
//! and the data versions that their replicas hold.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::ops::Deref;
use std::rc::Rc;

use catalog::{Catalog, Topology, connections_per_daemon};
use clock::Millis;
use compio::runtime::JoinHandle;

use crate::call::Shard;
use crate::endpoint::Endpoint;
use crate::pool::Pool;
use crate::probe;
use crate::shared::Shared;
use crate::upstream::{Upstream, UpstreamKey};

// Requests planned on the previous shard map finish within this time.
const RETIRED_TOPOLOGY_TTL: Millis = Millis(30_000);

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

/// A service with its declared topology; dereferences to its pool.
pub struct Service {
    pool: Rc<Pool>,
    topology: RefCell<Rc<Topology>>,
    retired: RefCell<Vec<(Millis, Rc<Topology>)>>,
    probes: RefCell<HashMap<UpstreamKey, JoinHandle<()>>>,
}

impl Deref for Service {
    type Target = Rc<Pool>;

    fn deref(&self) -> &Rc<Pool> {
        &self.pool
    }
}

/// One shard of a declared topology.
pub(crate) struct DeclaredShard<'a> {
    pub(crate) service: &'a Service,
    pub(crate) topology: &'a Topology,
    pub(crate) index: usize,
}

impl Shard for DeclaredShard<'_> {
    fn name(&self) -> &str {
        &self.topology.service.shards[self.index].name
    }

    fn replicas(&self) -> Vec<UpstreamKey> {
        self.service.replicas(self.topology, self.index)
    }
}

impl Service {
    fn new(shared: &Rc<Shared>, topology: &Rc<Topology>) -> Rc<Self> {
        let service = Rc::new(Self {
            pool: Pool::new(shared, &topology.service.name),
            topology: RefCell::new(topology.clone()),
            retired: RefCell::default(),
            probes: RefCell::default(),
        });
        service.install(topology);
        service
    }

    /// Returns the current topology.
    pub fn topology(&self) -> Rc<Topology> {
        self.topology.borrow().clone()
    }

    /// Finds the topology of a shard map, current or recently retired.
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
            .filter(|(at, _)| now.since(*at) < RETIRED_TOPOLOGY_TTL);
        let mut matching = valid.filter(|(_, t)| t.service.partitioning == partitioning);
        matching.next().map(|(_, t)| t.clone())
    }

    fn update(self: &Rc<Self>, topology: &Rc<Topology>) {
        let previous = self.topology.replace(topology.clone());
        if previous.service.partitioning != topology.service.partitioning {
            let now = Millis::now();
            let mut retired = self.retired.borrow_mut();
            retired.retain(|(at, _)| now.since(*at) < RETIRED_TOPOLOGY_TTL);
            retired.push((now, previous));
        }
        self.install(topology);
        // The upstreams may hold other snapshots of the new shard map.
        self.upstreams().iter().for_each(|u| u.request_poll());
    }

    /// Updates the pool and the probes to a topology.
    fn install(self: &Rc<Self>, topology: &Rc<Topology>) {
        let service = &topology.service;
        let endpoint = |declared: &catalog::Upstream| Endpoint {
            id: declared.name.clone(),
            address: declared.address,
            domain: declared.domain.clone(),
            started_at: None,
            slots: service.slots,
            connections: connections_per_daemon(service),
            is_drained: declared.drain,
            is_evacuated: false,
            cold: None,
        };
        let endpoints: Vec<Endpoint> = service.upstreams.iter().map(endpoint).collect();
        self.pool.set_queue_limit(service.queue);
        self.pool.install(&endpoints);
        let mut probes = self.probes.borrow_mut();
        probes.retain(|key, _| self.pool.find(*key).is_some());
        for (key, upstream) in self.pool.entries() {
            let service = Rc::downgrade(self);
            let is_owned = move |u: &Upstream| service.upgrade().is_some_and(|s| s.is_owned(u));
            let probe = || probe::run(Rc::downgrade(&self.pool), upstream, is_owned);
            probes
                .entry(key)
                .or_insert_with(|| compio::runtime::spawn(probe()));
        }
    }

    /// Returns the keys of a shard's replicas.
    pub(crate) fn replicas(&self, topology: &Topology, shard: usize) -> Vec<UpstreamKey> {
        let declared = topology.replicas[shard]
            .iter()
            .map(|&u| &topology.service.upstreams[u].name);
        declared.filter_map(|name| self.pool.key_of(name)).collect()
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

    /// Returns the snapshots that the available replicas of the shards hold.
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
            .filter(|&&k| self.is_available(k))
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
}

/// The pools of all services.
pub struct Pools {
    /// State that all pools share.
    pub shared: Rc<Shared>,
    pools: RefCell<BTreeMap<String, Rc<Service>>>,
}

impl Pools {
    /// Returns an empty set of pools.
    pub fn new(shared: Rc<Shared>) -> Self {
        Self {
            shared,
            pools: RefCell::default(),
        }
    }

    /// Updates all pools to the catalog of a revision.
    pub fn install(&self, catalog: &Catalog) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|name, _| catalog.services.contains_key(name));
        for (name, topology) in &catalog.services {
            match pools.get(name) {
                Some(pool) if Rc::ptr_eq(&pool.topology(), topology) => {}
                Some(pool) => pool.update(topology),
                None => {
                    pools.insert(name.clone(), Service::new(&self.shared, topology));
                }
            }
        }
    }

    /// Finds the pool of a service.
    pub fn find(&self, service: &str) -> Option<Rc<Service>> {
        self.pools.borrow().get(service).cloned()
    }

    /// Returns all pools.
    pub fn all(&self) -> Vec<Rc<Service>> {
        self.pools.borrow().values().cloned().collect()
    }
}
