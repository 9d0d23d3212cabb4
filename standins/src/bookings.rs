//! A system for tests of bookings, and the record of what ran in it.

use std::collections::BTreeMap;

use clock::Millis;
use uuid::Uuid;

use crate::fleet::{Binaries, Fleet, Plan, ServicePlan};

/// Usual time for which a booking's key is kept.
pub const RETENTION: Millis = Millis(300_000);

/// Starts a system with the service `jobs`, whose upstreams take `service_ms` for
/// a request.
///
/// # Panics
///
/// Panics if the system does not become ready.
pub async fn fleet_with(service_ms: f64, retention: Millis) -> Fleet {
    let mut service = ServicePlan::new("jobs", 3);
    service.behaviour.service_ms = service_ms;
    service.service.retention_ms = retention;
    service.service.deadline_ms = Millis(3_000);
    Fleet::ready(&Binaries::find(), Plan::of(service)).await
}

/// Returns how many times the booking of each key ran, on all upstreams that
/// answer.
pub async fn runs_by_key(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for execution in fleet.all_executions().await {
        if let Some(key) = execution["key"].as_str() {
            *runs.entry(key.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Returns a key for a new booking.
pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}
