//! Measurement of one round of a variant.

use std::error::Error;
use std::path::Path;
use std::time::Duration;

use catalog::Service;
use futures_util::future::join;
use serde_json::{Value, json};

use super::fault::{self, FAULT_DELAY, Fault};
use super::scenario::Variant;
use crate::client::JsonClient;
use crate::fleet::{Binaries, Fleet, Plan, ServicePlan};
use crate::load::{self, Load, Report, TIMELINE_INTERVAL_MS};

const DAEMONS: usize = 7;
const SERVICE_MS: f64 = 10.0;
const WARM_UP: Duration = Duration::from_secs(2);
const TICKS_PER_SECOND: f64 = 100.0;

/// Starts a fleet, puts load on it and returns the figures.
pub(crate) async fn run(
    binaries: &Binaries,
    variant: &Variant,
    examples: &Path,
    seed: u64,
    seconds: f64,
) -> Result<Value, Box<dyn Error>> {
    let plan = plan(variant, examples, seed)?;
    let service = plan.services[0].service.clone();
    let mut fleet = Fleet::ready(binaries, plan).await;
    let owner = fault::owner_of(&fleet, variant.service).await;
    let capacity = capacity(&service);
    let mut load = Load {
        callers: callers(&fleet, variant.fault, owner),
        services: vec![variant.service.to_owned()],
        rate: capacity * variant.utilization.min(0.5),
        duration: WARM_UP,
        deadline_ms: None,
        seed,
    };
    load::run(&load).await;
    load.rate = capacity * variant.utilization;
    load.duration = Duration::from_secs_f64(seconds);
    let before = counters(&fleet).await;
    let daemons: Vec<u32> = fleet.daemons.iter().map(|d| d.process.id()).collect();
    let cpu_before = cpu_seconds(&daemons);
    let injection = fault::inject(&mut fleet, variant.fault, variant.service, owner, seconds);
    let (report, ()) = join(load::run(&load), injection).await;
    let cpu_used = cpu_seconds(&daemons) - cpu_before;
    let after = counters(&fleet).await;
    let most_open = most_open(&fleet, variant.service).await;
    let mut figures = report.summary();
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    figures["shard_coverage"] = json!(share(report.covered, report.asked));
    figures["complete_share"] = json!(share(report.complete, report.sent));
    figures["goodput_of_capacity"] = json!(report.complete as f64 / seconds / capacity);
    figures["extra_load"] = json!((after.0 - before.0) / (after.1 - before.1).max(1.0) - 1.0);
    figures["cpu_ms_per_query"] = json!(cpu_used * 1_000.0 / report.sent.max(1) as f64);
    figures["most_open_connections"] = json!(most_open);
    figures["connection_limit"] = json!(service.connections);
    figures["ms_to_full_coverage"] = json!(ms_to_full_coverage(&report));
    figures["curve"] = json!(report.curve);
    Ok(figures)
}

/// Returns the searches per second that the slots can serve.
fn capacity(service: &Service) -> f64 {
    let slots = (service.upstreams.len() * service.slots) as f64;
    slots * 1_000.0 / SERVICE_MS / service.shards.len() as f64
}

/// Returns the callers addresses of the daemons; an owner that the fault removes
/// is left out.
fn callers(fleet: &Fleet, fault: Fault, owner: usize) -> Vec<std::net::SocketAddr> {
    let is_lost = matches!(
        fault,
        Fault::OwnerKilled | Fault::OwnerFrozen | Fault::OwnerLeft
    );
    let all = fleet.daemons.iter().enumerate();
    all.filter(|(i, _)| !is_lost || *i != owner)
        .map(|(_, d)| d.callers)
        .collect()
}

fn plan(variant: &Variant, examples: &Path, seed: u64) -> Result<Plan, Box<dyn Error>> {
    let file = examples.join(format!("{}.yaml", variant.deployment));
    let (declared, _) = catalog::parse(
        &std::fs::read_to_string(&file)?,
        &file.display().to_string(),
    )?;
    let service = declared
        .services
        .iter()
        .find(|s| s.name == variant.service)
        .ok_or_else(|| format!("no service `{}` in {}", variant.service, file.display()))?;
    let service: Service =
        serde_json::from_value(with_fields(json!(service), &variant.declaration))?;
    let mut planned = ServicePlan::declared(&service);
    planned.behaviour.service_ms = SERVICE_MS;
    planned.behaviour.record = false;
    planned.behaviour.connect_ms = 1;
    planned.behaviour =
        serde_json::from_value(with_fields(json!(planned.behaviour), &variant.behaviour))?;
    let mut domains: Vec<String> = service.upstreams.iter().map(|u| u.domain.clone()).collect();
    domains.sort();
    domains.dedup();
    let settings = with_fields(
        json!({ "grace_ms": 1_000, "drain_ms": 5_000 }),
        &variant.settings,
    );
    Ok(Plan {
        daemons: DAEMONS,
        domains,
        services: vec![planned],
        settings,
        seed,
        ..Plan::default()
    })
}

/// Replaces top-level fields of a JSON object by those of `change`.
fn with_fields(mut value: Value, change: &Value) -> Value {
    if let (Value::Object(fields), Value::Object(change)) = (&mut value, change) {
        fields.extend(change.clone());
    }
    value
}

/// Returns the sub-requests that were sent and those that were needed, summed over
/// all daemons.
async fn counters(fleet: &Fleet) -> (f64, f64) {
    let mut sums = (0.0, 0.0);
    for daemon in &fleet.daemons {
        let text = JsonClient::new(daemon.callers)
            .text("/metrics")
            .await
            .unwrap_or_default();
        let value = |name: &str| {
            let line = text.lines().find(|l| l.starts_with(&format!("{name} ")));
            line.and_then(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        sums.0 += value("coltsfootgw_sends_total");
        sums.1 += value("coltsfootgw_subrequests_total");
    }
    sums
}

/// Returns the maximum number of connections that an upstream had open at a time.
async fn most_open(fleet: &Fleet, service: &str) -> u64 {
    let mut most = 0;
    for name in fault::upstream_names(fleet, service) {
        most = most.max(fleet.counts(&name).await["most_open"].as_u64().unwrap_or(0));
    }
    most
}

/// Returns the user and system time of processes, in seconds; a process that ended
/// counts as zero.
pub(crate) fn cpu_seconds(ids: &[u32]) -> f64 {
    let ticks = |id: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let number = |i: usize| fields.get(i)?.parse::<f64>().ok();
        Some(number(11)? + number(12)?)
    };
    ids.iter().filter_map(ticks).sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the milliseconds from the fault to the end of the last interval with a
/// request that was not answered completely.
fn ms_to_full_coverage(report: &Report) -> u64 {
    let at = FAULT_DELAY.as_millis() as u64;
    let incomplete = report
        .timeline
        .iter()
        .enumerate()
        .rev()
        .find(|(_, (sent, complete))| complete < sent);
    let end = incomplete.map_or(0, |(i, _)| (i as u64 + 1) * TIMELINE_INTERVAL_MS);
    end.saturating_sub(at)
}
