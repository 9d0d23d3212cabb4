//! Sizes and settings of a fleet.

use catalog::{Declarations, Objective, Service, Shard, Upstream};
use clock::Millis;
use serde_json::{Value, json};

use super::UpstreamProcess;
use crate::upstream::Behaviour;

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of daemons.
    pub daemons: usize,
    /// Failure domains, assigned in turn.
    pub domains: Vec<String>,
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Settings of the daemons other than names and addresses.
    pub settings: Value,
    /// Number of upstreams that share a process.
    pub upstreams_per_process: usize,
    /// Seed of the service times.
    pub seed: u64,
}

/// A service and the behaviour of its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// The declaration; shards and upstreams are filled in.
    pub service: Service,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of shards; shard `i` is on upstream `i` and the ones after it.
    pub shards: usize,
    /// Number of replicas of each shard.
    pub replicas: usize,
    /// Behaviour of the upstreams.
    pub behaviour: Behaviour,
}

impl ServicePlan {
    /// Returns a fast service with bookings, for tests.
    pub fn new(name: &str, upstreams: usize) -> Self {
        let service = Service {
            name: name.to_owned(),
            objective: Objective::Latency,
            deadline_ms: Millis(1_000),
            coverage_percent: 1,
            partitioning: "p1".to_owned(),
            bookings: true,
            retention_ms: Millis(300_000),
            concurrency: 1_024,
            queue: 256,
            hedge_percent: 5,
            retry_percent: 10,
            slots: 2,
            connections: 25,
            shards: Vec::new(),
            upstreams: Vec::new(),
        };
        Self {
            service,
            upstreams,
            shards: upstreams,
            replicas: 2,
            behaviour: Behaviour::default(),
        }
    }

    /// Returns a service as declared, with upstreams that enforce its limits.
    pub fn declared(service: &Service) -> Self {
        let behaviour = Behaviour {
            slots: service.slots,
            connections: service.connections,
            holds: json!([{ "partitioning": service.partitioning, "snapshot": 1 }]),
            ..Behaviour::default()
        };
        let (upstreams, shards) = (service.upstreams.len(), service.shards.len());
        Self {
            service: service.clone(),
            upstreams,
            shards,
            replicas: 0,
            behaviour,
        }
    }

    fn upstream_name(&self, number: usize) -> String {
        match self.service.upstreams.get(number) {
            Some(upstream) => upstream.name.clone(),
            None => format!("{}-{}", self.service.name, number + 1),
        }
    }

    fn domain(&self, number: usize, domains: &[String]) -> String {
        match self.service.upstreams.get(number) {
            Some(upstream) => upstream.domain.clone(),
            None => domains[number % domains.len()].clone(),
        }
    }

    fn shard(&self, number: usize) -> Shard {
        let replica = |r: usize| self.upstream_name((number + r) % self.upstreams);
        match self.service.shards.get(number) {
            Some(shard) => shard.clone(),
            None => Shard {
                name: format!("s{number}"),
                upstreams: (0..self.replicas).map(replica).collect(),
            },
        }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            daemons: 3,
            domains: ["a", "b", "c"].map(str::to_owned).to_vec(),
            services: vec![ServicePlan::new("jobs", 3)],
            settings: json!({ "grace_ms": 300, "drain_ms": 5_000, "heartbeat_ms": 200 }),
            upstreams_per_process: 1,
            seed: 1,
        }
    }
}

impl Plan {
    /// Returns the default plan with this service as the only one.
    pub fn of(service: ServicePlan) -> Self {
        Self {
            services: vec![service],
            ..Self::default()
        }
    }

    pub(crate) fn upstream_names(&self) -> Vec<(String, String)> {
        let names = |s: &ServicePlan| {
            (0..s.upstreams)
                .map(|i| (s.service.name.clone(), s.upstream_name(i)))
                .collect::<Vec<_>>()
        };
        self.services.iter().flat_map(names).collect()
    }

    pub(crate) fn behaviour(&self, service: &str) -> Behaviour {
        let plan = self.services.iter().find(|s| s.service.name == service);
        plan.map(|s| s.behaviour.clone()).unwrap_or_default()
    }

    /// Returns the declarations with the addresses that the processes bound.
    pub(crate) fn declarations(&self, processes: &[UpstreamProcess]) -> Declarations {
        let services = self.services.iter().map(|plan| {
            let bound = processes
                .iter()
                .flat_map(|p| &p.upstreams)
                .filter(|(s, _, _)| *s == plan.service.name);
            let upstreams = bound.enumerate().map(|(i, (_, name, address))| Upstream {
                name: name.clone(),
                address: *address,
                domain: plan.domain(i, &self.domains),
                drain: false,
            });
            let shards = (0..plan.shards).map(|i| plan.shard(i));
            Service {
                shards: shards.collect(),
                upstreams: upstreams.collect(),
                ..plan.service.clone()
            }
        });
        Declarations {
            services: services.collect(),
        }
    }
}
