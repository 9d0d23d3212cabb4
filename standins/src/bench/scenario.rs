//! Scenarios of the bench and their variants.

use serde_json::{Value, json};

use super::fault::Fault;

/// The names of all scenarios.
pub const SCENARIOS: [&str; 10] = [
    "steady",
    "overload",
    "straggler",
    "slow-replica",
    "loss",
    "shard-loss",
    "owner-loss",
    "repartition",
    "store-outage",
    "lying-health",
];

/// A set of variants that are measured in turn.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The variants.
    pub variants: Vec<Variant>,
}

/// A load on a deployment, with changes to it and a fault.
#[derive(Clone, Debug)]
pub struct Variant {
    /// Name in the results.
    pub name: String,
    /// Name of the example deployment.
    pub deployment: &'static str,
    /// Service that receives the load.
    pub service: &'static str,
    /// Load as a share of the slots' capacity.
    pub utilization: f64,
    /// Changes to the daemons' settings.
    pub settings: Value,
    /// Changes to the service's declaration.
    pub declaration: Value,
    /// Changes to the behaviour of the upstreams.
    pub behaviour: Value,
    /// Fault that is injected while the load runs.
    pub fault: Fault,
}

// Deployment and service.
const BROLGA: (&str, &str) = ("brolga", "plumber-tablet");
const SIYAHAMBA: (&str, &str) = ("siyahamba", "airline-counter");

impl Variant {
    fn new(
        name: &str,
        (deployment, service): (&'static str, &'static str),
        utilization: f64,
    ) -> Self {
        let name = format!("{deployment}/{name}");
        let empty = || json!({});
        Self {
            name,
            deployment,
            service,
            utilization,
            settings: empty(),
            declaration: empty(),
            behaviour: empty(),
            fault: Fault::None,
        }
    }

    fn settings(self, settings: Value) -> Self {
        Self { settings, ..self }
    }

    fn declaration(self, declaration: Value) -> Self {
        Self {
            declaration,
            ..self
        }
    }

    fn behaviour(self, behaviour: Value) -> Self {
        Self { behaviour, ..self }
    }

    fn fault(self, fault: Fault) -> Self {
        Self { fault, ..self }
    }
}

/// Finds a scenario by its name.
pub fn find(name: &str) -> Option<Scenario> {
    let variants = match name {
        "steady" => ownership(0.7),
        "overload" => [ownership(1.5), vec![unbounded()]].concat(),
        "straggler" => hedging("no-stragglers", |v| {
            v.behaviour(json!({ "straggler_share": 0.02, "straggler_factor": 20.0 }))
        }),
        "slow-replica" => hedging("no-slow-replica", |v| v.fault(Fault::SlowReplica)),
        "loss" => losses(),
        "shard-loss" => shard_losses(),
        "owner-loss" => owner_losses(),
        "repartition" => {
            both(|d| Variant::new("switched-every-second", d, 0.3).fault(Fault::Repartition))
        }
        "store-outage" => [
            both(|d| Variant::new("store-up", d, 0.4)),
            both(|d| Variant::new("store-down", d, 0.4).fault(Fault::StoreDown)),
            both(|d| Variant::new("store-slow", d, 0.4).fault(Fault::StoreSlow)),
        ]
        .concat(),
        "lying-health" => [
            both(|d| Variant::new("honest", d, 0.4)),
            both(|d| Variant::new("unhealthy-when-well", d, 0.4).fault(Fault::AllReportFailing)),
            both(|d| Variant::new("healthy-when-failing", d, 0.4).fault(Fault::FailingReportsOk)),
        ]
        .concat(),
        _ => return None,
    };
    Some(Scenario { variants })
}

fn both(make: impl Fn((&'static str, &'static str)) -> Variant) -> Vec<Variant> {
    vec![make(BROLGA), make(SIYAHAMBA)]
}

fn ownership(utilization: f64) -> Vec<Variant> {
    let local = json!({ "ownership": "local" });
    [
        both(|d| Variant::new("rendezvous", d, utilization)),
        both(|d| Variant::new("local", d, utilization).settings(local.clone())),
    ]
    .concat()
}

fn unbounded() -> Variant {
    let declaration = json!({ "queue": 100_000, "concurrency": 100_000, "deadline_ms": 30_000 });
    Variant::new("no-bound", BROLGA, 1.5).declaration(declaration)
}

/// Returns runs without a disturbance, and runs with it, hedged and unhedged.
fn hedging(baseline: &str, disturb: impl Fn(Variant) -> Variant) -> Vec<Variant> {
    let off = json!({ "hedge_percent": 0 });
    [
        both(|d| Variant::new(baseline, d, 0.4)),
        both(|d| disturb(Variant::new("hedged", d, 0.4))),
        both(|d| disturb(Variant::new("unhedged", d, 0.4)).declaration(off.clone())),
    ]
    .concat()
}

fn losses() -> Vec<Variant> {
    let latency = json!({ "objective": "latency" });
    let coverage = json!({ "objective": "coverage" });
    [
        both(|d| Variant::new("killed", d, 0.4).fault(Fault::UpstreamKilled)),
        both(|d| Variant::new("frozen", d, 0.4).fault(Fault::UpstreamFrozen)),
        vec![
            Variant::new("frozen-latency", SIYAHAMBA, 0.4)
                .fault(Fault::UpstreamFrozen)
                .declaration(latency),
            Variant::new("frozen-coverage", BROLGA, 0.4)
                .fault(Fault::UpstreamFrozen)
                .declaration(coverage),
        ],
    ]
    .concat()
}

/// Returns both deployments under both objectives, while a shard has no replica.
fn shard_losses() -> Vec<Variant> {
    ["latency", "coverage"]
        .into_iter()
        .flat_map(|objective| {
            let declaration = json!({ "objective": objective });
            both(move |d| {
                Variant::new(objective, d, 0.3)
                    .fault(Fault::ShardKilled)
                    .declaration(declaration.clone())
            })
        })
        .collect()
}

fn owner_losses() -> Vec<Variant> {
    [
        both(|d| Variant::new("killed", d, 0.4).fault(Fault::OwnerKilled)),
        both(|d| Variant::new("frozen", d, 0.4).fault(Fault::OwnerFrozen)),
        both(|d| Variant::new("left", d, 0.4).fault(Fault::OwnerLeft)),
    ]
    .concat()
}
