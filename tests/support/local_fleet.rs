//! Two daemons, each of which owns all shards for its own callers.

use clock::Millis;
use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan};

pub const UPSTREAMS: usize = 3;

/// A service named `jobs`.
pub fn jobs_service(deadline: Millis) -> ServicePlan {
    let mut service = ServicePlan::new("jobs", UPSTREAMS);
    service.service.deadline_ms = deadline;
    service
}

/// Starts the daemons with a service and the times of their shutdown.
pub async fn start_fleet(service: ServicePlan, grace: Millis, drain: Millis) -> Fleet {
    let settings = json!({ "grace_ms": grace.0, "drain_ms": drain.0, "heartbeat_ms": 200,
        "ownership": "local" });
    let plan = Plan {
        daemons: 2,
        services: vec![service],
        settings,
        ..Plan::default()
    };
    Fleet::ready(&Binaries::find(), plan).await
}

/// Lets all upstreams keep requests without an answer.
pub async fn hang_upstreams(fleet: &Fleet) {
    for number in 1..=UPSTREAMS {
        let name = format!("jobs-{number}");
        fleet.control(&name, json!({ "mode": "hanging" })).await;
    }
}
