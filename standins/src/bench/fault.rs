//! What fails while a load runs.

use std::time::Duration;

use serde_json::json;

use crate::fleet::Fleet;

const BEFORE: Duration = Duration::from_millis(1_500);
const LASTS: Duration = Duration::from_millis(2_500);
// Shorter than the deadline of a service that waits for coverage.
const SHARD_AWAY: Duration = Duration::from_millis(300);
const SWITCH_INTERVAL: Duration = Duration::from_secs(1);

/// A fault; times count from the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing fails.
    None,
    /// One upstream is 20 times slower from the start.
    SlowReplica,
    /// One upstream is killed and started again cold.
    UpstreamKilled,
    /// One upstream is frozen and goes on.
    UpstreamFrozen,
    /// All replicas of one shard are killed and started again soon after.
    ShardKilled,
    /// The owner of the first group is killed.
    OwnerKilled,
    /// The owner of the first group is frozen.
    OwnerFrozen,
    /// The owner of the first group leaves.
    OwnerLeft,
    /// Snapshot and shard map change every second.
    Repartition,
    /// The store refuses every call.
    StoreDown,
    /// The store takes a second for every call.
    StoreSlow,
    /// Every health endpoint says that its upstream fails.
    AllSayFailing,
    /// One upstream fails every request and says that it is well.
    FailingSaysOk,
}

/// When a fault began, for the time to detect it.
pub(crate) const FAULT_AT: Duration = BEFORE;

/// The daemon that owns the first group of a service.
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

/// Causes a fault in the middle of a load of `seconds`.
pub(crate) async fn cause(
    fleet: &mut Fleet,
    fault: Fault,
    service: &str,
    owner: usize,
    seconds: f64,
) {
    let victim = format!("{service}-1");
    compio::time::sleep(BEFORE).await;
    match fault {
        Fault::None => {}
        Fault::SlowReplica => fleet.control(&victim, json!({ "slow_factor": 20.0 })).await,
        Fault::UpstreamKilled => {
            fleet.upstream_process(&victim).kill();
            compio::time::sleep(LASTS).await;
            fleet.restart_upstream(&victim).await;
        }
        Fault::UpstreamFrozen => {
            fleet.upstream_process(&victim).freeze();
            compio::time::sleep(LASTS).await;
            fleet.upstream_process(&victim).resume();
        }
        Fault::ShardKilled => {
            let replicas = replicas_of_first(fleet, service);
            for name in &replicas {
                fleet.upstream_process(name).kill();
            }
            compio::time::sleep(SHARD_AWAY).await;
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
        Fault::AllSayFailing => {
            for name in names(fleet, service) {
                fleet.control(&name, json!({ "health": "failing" })).await;
            }
        }
        Fault::FailingSaysOk => fleet.control(&victim, json!({ "mode": "failing" })).await,
    }
}

fn replicas_of_first(fleet: &Fleet, service: &str) -> Vec<String> {
    let mut declared = fleet.declarations.services.iter();
    let service = declared.find(|s| s.name == service);
    let shard = service.and_then(|s| s.shards.first());
    shard.map(|s| s.upstreams.clone()).unwrap_or_default()
}

/// The names of a service's upstreams.
pub(crate) fn names(fleet: &Fleet, service: &str) -> Vec<String> {
    let all = fleet.upstreams.iter().flat_map(|p| &p.upstreams);
    all.filter(|(s, _, _)| s == service)
        .map(|(_, name, _)| name.clone())
        .collect()
}

/// Switches snapshot and shard map every second; both versions are held
/// while the switch is under way.
async fn repartition(fleet: &Fleet, service: &str, seconds: f64) {
    let mut declared = fleet.declarations.clone();
    let rounds = (seconds - BEFORE.as_secs_f64()) as u64;
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
        for name in names(fleet, service) {
            fleet.control(&name, json!({ "holds": both })).await;
        }
        fleet.apply(0, &declared, &format!("switch-{round}")).await;
        compio::time::sleep(SWITCH_INTERVAL).await;
        for name in names(fleet, service) {
            fleet
                .control(&name, json!({ "holds": [held(&new, round + 1)] }))
                .await;
        }
    }
}
