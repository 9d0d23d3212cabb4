//! The state dump, and the gauges that are derived from the same state.

use clock::Millis;
use ledger::BucketView;
use members::{Member, MemberView};
use serde::Serialize;
use telemetry::names;
use upstreams::PoolView;

use crate::state::Daemon;

#[derive(Serialize)]
struct Dump {
    me: Member,
    uptime_ms: Millis,
    leaving: bool,
    ready: bool,
    reason: Option<&'static str>,
    revision: u64,
    confirmed_ms: Millis,
    in_flight: usize,
    kept_outcomes: usize,
    quarantined: usize,
    members: Vec<MemberView>,
    ownership: Vec<GroupView>,
    pools: Vec<PoolView>,
    ledger: Vec<BucketView>,
}

#[derive(Serialize)]
struct GroupView {
    group: String,
    upstreams: usize,
    owner: Option<String>,
}

/// Returns the state of the daemon as JSON.
pub(crate) fn render(daemon: &Daemon) -> serde_json::Result<String> {
    let now = Millis::now();
    let reason = daemon.unready_reason();
    let dump = Dump {
        me: daemon.members.me(),
        uptime_ms: now.since(daemon.started),
        leaving: daemon.is_leaving.get(),
        ready: reason.is_none(),
        reason,
        revision: daemon.sync.revision(),
        confirmed_ms: daemon.members.confirmation.age(now),
        in_flight: daemon.root.in_flight(),
        kept_outcomes: daemon.outcomes.len(),
        quarantined: daemon.pools.shared.crashes.quarantined_count(now),
        members: daemon.members.view(),
        ownership: ownership(daemon),
        pools: daemon.pools.all().iter().map(|p| p.view()).collect(),
        ledger: daemon.ledger.view(),
    };
    serde_json::to_string_pretty(&dump)
}

fn ownership(daemon: &Daemon) -> Vec<GroupView> {
    let catalog = daemon.root.catalog();
    let groups = catalog
        .services
        .values()
        .flat_map(|t| (0..t.groups.len()).map(move |g| (t, g)));
    let view = groups.map(|(topology, group)| GroupView {
        group: topology.group_key(group),
        upstreams: topology.groups[group].upstreams.len(),
        owner: daemon.root.owner_name(topology, group),
    });
    view.collect()
}

impl Daemon {
    /// Sets the gauges that are derived from the state.
    pub(crate) fn refresh_gauges(&self) {
        let now = Millis::now();
        let views: Vec<PoolView> = self.pools.all().iter().map(|p| p.view()).collect();
        let upstreams = || views.iter().flat_map(|v| &v.upstreams);
        let sum = |values: &mut dyn Iterator<Item = usize>| values.sum::<usize>() as f64;
        metrics::gauge!(names::UPSTREAM_CONNECTIONS).set(sum(&mut upstreams().map(|u| u.open)));
        metrics::gauge!(names::SLOTS_USED).set(sum(&mut upstreams().map(|u| u.busy)));
        metrics::gauge!(names::QUEUE_LENGTH).set(sum(&mut views.iter().map(|v| v.queue)));
        metrics::gauge!(names::QUARANTINED)
            .set(self.pools.shared.crashes.quarantined_count(now) as f64);
        let age = self.members.confirmation.age(now).0 as f64 / 1_000.0;
        metrics::gauge!(names::CONFIRMATION_AGE_SECONDS).set(age);
    }
}
