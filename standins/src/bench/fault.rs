//! Faults that are injected while a load runs.

use std::time::Duration;

use serde_json::json;

use crate::fleet::Fleet;

/// Time from the start of the load to the fault.
pub(crate) const FAULT_DELAY: Duration = Duration::from_millis(1_500);
const FAULT_DURATION: Duration = Duration::from_millis(2_500);
// Shorter than the deadline of a service that waits for coverage.
const SHARD_OUTAGE: Duration = Duration::from_millis(300);
const SWITCH_INTERVAL: Duration = Duration::from_secs(1);

/// A fault, injected 1.5 s after the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing fails.
    None,
    /// One upstream becomes 20 times slower.
    SlowReplica,
    /// One upstream is killed and started again cold 2.5 s later.
    UpstreamKilled,
    /// One upstream is frozen and resumed 2.5 s later.
    UpstreamFrozen,
    /// All replicas of one shard are killed and started again 300 ms later.
    ShardKilled,
    /// The owner of the first group is killed.
    OwnerKilled,
    /// The owner of the first group is frozen.
    OwnerFrozen,
    /// The owner of the first group shuts down on SIGTERM.
    OwnerLeft,
    /// Snapshot and shard map are switched every second.
    Repartition,
    /// The store refuses every call.
    StoreDown,
    /// The store delays every answer by one second.
    StoreSlow,
    /// Every health endpoint reports that its upstream fails.
    AllReportFailing,
    /// One upstream fails every request, but its health endpoint reports `ok`.
    FailingReportsOk,
}

/// Returns the index of the daemon that owns the first group of a service, or 0 if
/// no daemon owns it.
pub(crate) async fn owner_of(fleet: &Fleet, service: &str) -> usize {
    let dump = fleet.dump(0).await;
    let groups = dump["ownership"].as_array().cloned().unwrap_or_default();
    let first = groups.iter().find(|g| g["group"] == format!("{service}/0"));
    let name = first
        .and_then(|g| g["owner"].as_str())
        .unwrap_or_default()
        .to_owned();
    fleet
        .daemons
        .iter()
        .position(|d| d.name == name)
        .unwrap_or(0)
}

/// Injects a fault `FAULT_DELAY` after the start of a load of `seconds`.
pub(crate) async fn inject(
    fleet: &mut Fleet,
    fault: Fault,
    service: &str,
    owner: usize,
    seconds: f64,
) {
    let victim = format!("{service}-1");
    compio::time::sleep(FAULT_DELAY).await;
    match fault {
        Fault::None => {}
        Fault::SlowReplica => fleet.control(&victim, json!({ "slow_factor": 20.0 })).await,
        Fault::UpstreamKilled => {
            fleet.upstream_process(&victim).kill();
            compio::time::sleep(FAULT_DURATION).await;
            fleet.restart_upstream(&victim).await;
        }
        Fault::UpstreamFrozen => {
            fleet.upstream_process(&victim).freeze();
            compio::time::sleep(FAULT_DURATION).await;
            fleet.upstream_process(&victim).resume();
        }
        Fault::ShardKilled => {
            let replicas = first_shard_replicas(fleet, service);
            for name in &replicas {
                fleet.upstream_process(name).kill();
            }
            compio::time::sleep(SHARD_OUTAGE).await;
            for name in &replicas {
                fleet.restart_upstream(name).await;
            }
        }
        Fault::OwnerKilled => fleet.daemons[owner].process.kill(),
        Fault::OwnerFrozen => fleet.daemons[owner].process.freeze(),
        Fault::OwnerLeft => fleet.daemons[owner].process.terminate(),
        Fault::Repartition => repartition(fleet, service, seconds).await,
        Fault::StoreDown => fleet.set_store_faults(json!({ "down": true })).await,
        Fault::StoreSlow => fleet.set_store_faults(json!({ "delay_ms": 1_000 })).await,
        Fault::AllReportFailing => {
            for name in upstream_names(fleet, service) {
                fleet.control(&name, json!({ "health": "failing" })).await;
            }
        }
        Fault::FailingReportsOk => fleet.control(&victim, json!({ "mode": "failing" })).await,
    }
}

fn first_shard_replicas(fleet: &Fleet, service: &str) -> Vec<String> {
    let mut declared = fleet.declarations.services.iter();
    let service = declared.find(|s| s.name == service);
    let shard = service.and_then(|s| s.shards.first());
    shard.map(|s| s.upstreams.clone()).unwrap_or_default()
}

/// Returns the names of a service's upstreams.
pub(crate) fn upstream_names(fleet: &Fleet, service: &str) -> Vec<String> {
    let all = fleet.upstreams.iter().flat_map(|p| &p.upstreams);
    all.filter(|(s, _, _)| s == service)
        .map(|(_, name, _)| name.clone())
        .collect()
}

/// Switches snapshot and shard map every second; the upstreams hold both versions
/// until the switch is complete.
async fn repartition(fleet: &Fleet, service: &str, seconds: f64) {
    let mut declared = fleet.declarations.clone();
    let rounds = (seconds - FAULT_DELAY.as_secs_f64()) as u64;
    for round in 1..rounds {
        let Some(target) = declared.services.iter_mut().find(|s| s.name == service) else {
            return;
        };
        let (old, new) = (target.partitioning.clone(), format!("m{round}"));
        let held =
            |label: &str, snapshot: u64| json!({ "partitioning": label, "snapshot": snapshot });
        let both = json!([held(&old, round), held(&new, round + 1)]);
        target.partitioning.clone_from(&new);
        target.shards.rotate_left(1);
        for (i, shard) in target.shards.iter_mut().enumerate() {
            shard.name = format!("{new}-{i}");
        }
        for name in upstream_names(fleet, service) {
            fleet.control(&name, json!({ "holds": both })).await;
        }
        fleet.apply(0, &declared, &format!("switch-{round}")).await;
        compio::time::sleep(SWITCH_INTERVAL).await;
        for name in upstream_names(fleet, service) {
            fleet
                .control(&name, json!({ "holds": [held(&new, round + 1)] }))
                .await;
        }
    }
}
