//! Daemons that start while the declaration of one service in their store can't be read. Real
//! processes run against a stand-in store and upstreams.

use serde_json::{Value, json};
use standins::client::JsonClient;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan};

/// Overwrites the stored declaration of a service with text that is no declaration.
async fn overwrite_declaration(fleet: &Fleet, service: &str) {
    let store = JsonClient::new(fleet.store_address);
    let entry = store.get("/v1/kv/head").await.unwrap().body;
    let head: Value = serde_json::from_str(entry["value"].as_str().unwrap()).unwrap();
    let key = head["services"][service]["blob"].as_str().unwrap();
    let path = format!("/v1/cas/{key}");
    let write = json!({ "expected": 1, "value": "no declaration" });
    let answer = store.post(&path, &write).await.unwrap();
    assert_eq!(answer.status, 200);
}

/// Guards against daemons that serve nothing after all of them were restarted because one
/// service can't be read.
#[compio::test]
async fn a_service_that_cannot_be_read_costs_itself_alone() {
    const UPSTREAMS: usize = 3;
    let plan = Plan {
        services: vec![
            ServicePlan::new("jobs", UPSTREAMS),
            ServicePlan::new("other", UPSTREAMS),
        ],
        ..Plan::default()
    };
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    overwrite_declaration(&fleet, "other").await;
    for daemon in &mut fleet.daemons {
        daemon.process.kill();
    }
    for number in 0..fleet.daemons.len() {
        fleet.restart_daemon(number).await;
    }
    fleet.wait_until_complete("jobs").await;
}
