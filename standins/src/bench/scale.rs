//! Cost of the control plane as the number of daemons and upstreams grows.

use std::time::Duration;

use serde_json::{Value, json};

use super::measure::cpu_seconds;
use crate::fleet::{Binaries, Fleet, Plan, ServicePlan};
use crate::load::{self, Load};

const IDLE_TIME: Duration = Duration::from_secs(6);
const LOAD_TIME: Duration = Duration::from_secs(5);
const SETTLE_TIME: Duration = Duration::from_secs(4);
const QUERIES_PER_SECOND: f64 = 20.0;
const UPSTREAMS_PER_PROCESS: usize = 30;
/// Number of daemons and upstreams in each step.
const STEPS: [(usize, usize); 9] = [
    (7, 15),
    (14, 15),
    (28, 15),
    (56, 15),
    (7, 60),
    (7, 240),
    (28, 240),
    (7, 510),
    (28, 510),
];

/// Measures every step and prints one JSON line for each.
pub async fn run() {
    for (daemons, upstreams) in STEPS {
        println!("{}", step(daemons, upstreams).await);
    }
}

async fn step(daemons: usize, upstreams: usize) -> Value {
    let mut service = ServicePlan::new("jobs", upstreams);
    service.service.deadline_ms = clock::Millis(5_000);
    service.service.queue = 4_096;
    service.behaviour.record = false;
    let plan = Plan {
        daemons,
        services: vec![service],
        settings: json!({ "heartbeat_ms": 500 }),
        upstreams_per_process: UPSTREAMS_PER_PROCESS,
        ..Plan::default()
    };
    let fleet = Fleet::ready(&Binaries::find(), plan).await;
    compio::time::sleep(SETTLE_TIME).await;
    let ids: Vec<u32> = fleet.daemons.iter().map(|d| d.process.id()).collect();
    let calls_before = store_calls(&fleet).await;
    let idle = cost(&ids, async || compio::time::sleep(IDLE_TIME).await).await;
    let store_calls = (store_calls(&fleet).await - calls_before) / IDLE_TIME.as_secs_f64();
    let load = Load {
        callers: fleet.daemons.iter().map(|d| d.callers).collect(),
        services: vec!["jobs".to_owned()],
        rate: QUERIES_PER_SECOND,
        duration: LOAD_TIME,
        deadline_ms: None,
        seed: 1,
    };
    let mut report = None;
    let loaded = cost(&ids, async || report = Some(load::run(&load).await)).await;
    let report = report.expect("the load was run");
    let extra_core = (loaded.core_percent - idle.core_percent).max(0.0) * daemons as f64;
    let dump = fleet.dump(0).await;
    json!({
        "daemons": daemons,
        "upstreams": upstreams,
        "groups": dump["ownership"].as_array().map_or(0, Vec::len),
        "owners": owners(&dump),
        "idle_core_percent": round(idle.core_percent),
        "idle_kb_per_second": round(idle.kb_per_second),
        "memory_mb": round(memory_mb(&ids)),
        "answered": report.answered,
        "sent": report.sent,
        "p50": report.p50,
        "cpu_ms_per_query": round(extra_core * 10.0 / QUERIES_PER_SECOND),
        "store_calls_per_second": round(store_calls),
    })
}

/// Processor and network use of a daemon.
struct Cost {
    core_percent: f64,
    kb_per_second: f64,
}

/// Returns the mean cost per daemon while `run` runs.
async fn cost(ids: &[u32], run: impl AsyncFnOnce()) -> Cost {
    let (cpu_before, bytes_before) = (cpu_seconds(ids), loopback_bytes());
    let started = std::time::Instant::now();
    run().await;
    let seconds = started.elapsed().as_secs_f64();
    let daemon_seconds = ids.len() as f64 * seconds;
    Cost {
        core_percent: (cpu_seconds(ids) - cpu_before) / daemon_seconds * 100.0,
        kb_per_second: (loopback_bytes() - bytes_before) / 1_000.0 / daemon_seconds,
    }
}

/// Returns the number of calls that the store has received.
async fn store_calls(fleet: &Fleet) -> f64 {
    let stats = fleet.store_stats().await;
    ["gets", "swaps", "watches"]
        .iter()
        .filter_map(|name| stats[*name].as_f64())
        .sum()
}

fn owners(dump: &Value) -> usize {
    let groups = dump["ownership"].as_array().into_iter().flatten();
    let mut names: Vec<&str> = groups.filter_map(|g| g["owner"].as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.len()
}

/// Returns the bytes that all processes have sent over loopback, headers included.
fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    let sent = line.and_then(|l| l.split_whitespace().nth(8)?.parse().ok());
    sent.unwrap_or(0.0)
}

/// Returns the mean resident memory of processes, in megabytes.
fn memory_mb(ids: &[u32]) -> f64 {
    let resident = |id: &u32| {
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    ids.iter().filter_map(resident).sum::<f64>() / 1_000.0 / ids.len() as f64
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
