//! Daemons that receive the changes of the store from the watchers of their
//! failure domain instead of watching it themselves.

use std::time::Duration;

use clock::Millis;
use http::StatusCode;
use serde_json::json;
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION, ready};
use standins::platform::site::{self, READ, Site, Size};

const SHARDS: usize = 2;
const DAEMONS: usize = 6;
/// A gateway exits within this time after SIGTERM.
const EXIT_LIMIT: Duration = Duration::from_secs(6);
/// Limit for the two daemons that watch the store: without a change, a watch
/// call lasts 0.7 s and the next one starts 0.7 s later.
const WATCHES_IN_FOUR_SECONDS: u64 = 2 * 4;

async fn fleet() -> (Site, Vec<Gateway>) {
    let size = Size {
        shards: SHARDS,
        replicas: 2,
        service_time: Millis(5),
    };
    let site = Site::start(size).await.expect("loopback ports are free");
    let mut fleet = Vec::new();
    for _ in 0..DAEMONS {
        fleet.push(ready(&site).await);
    }
    // By then, every daemon has all registrations.
    compio::time::sleep(PROPAGATION).await;
    (site, fleet)
}

/// Moves a route and waits until the change is in force on all daemons.
async fn change_route(site: &Site, fleet: &[Gateway], version: u64) {
    let mut configuration = site::configuration(SHARDS, version);
    let prefix = format!("/moved-{version}/");
    configuration["routes"][1]["prefix"] = json!(prefix);
    site::put(&site.store, "op/config", &configuration);
    for gateway in fleet {
        let path = format!("{prefix}1");
        let is_moved = async || gateway.get(&path, "r").await.status() == StatusCode::OK;
        wait_until("the change is in force", PROPAGATION, is_moved).await;
    }
}

#[compio::test]
async fn few_calls_reach_the_store_and_changes_reach_all() {
    let (site, fleet) = fleet().await;
    let before = site.store.calls.get();
    compio::time::sleep(Duration::from_secs(4)).await;
    let calls = site.store.calls.get() - before;
    // Each daemon renews its lease every 3 s.
    let renewals = 2 * DAEMONS as u64;
    assert!(calls <= WATCHES_IN_FOUR_SECONDS + renewals, "{calls}");
    change_route(&site, &fleet, 2).await;
}

#[compio::test]
async fn changes_reach_all_when_the_watchers_fail() {
    let (site, mut fleet) = fleet().await;
    // The first two daemons by name are the watchers.
    fleet[0].process.kill();
    fleet[1].process.freeze();
    change_route(&site, &fleet[2..], 2).await;
    fleet[1].process.resume();
}

#[compio::test]
async fn all_serve_while_the_store_is_down_and_get_changes_afterwards() {
    let (site, fleet) = fleet().await;
    site.store.is_down.set(true);
    compio::time::sleep(Duration::from_secs(4)).await;
    for gateway in &fleet {
        let answer = gateway.get(&format!("{READ}1"), "r").await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    site.store.is_down.set(false);
    change_route(&site, &fleet, 2).await;
}

async fn watch_calls(gateway: &Gateway) -> u64 {
    let metrics = gateway.metrics("/metrics").await;
    let name = "coltsfootgw_store_calls_total{operation=\"kv-watch\"} ";
    let line = metrics.lines().find_map(|l| l.strip_prefix(name));
    line.map_or(0, |count| count.parse().expect("a whole number"))
}

#[compio::test]
async fn daemons_poll_another_watcher_when_theirs_leaves() {
    let (_site, mut fleet) = fleet().await;
    let others = fleet.split_off(4);
    let mut before = Vec::new();
    for gateway in &others {
        before.push(watch_calls(gateway).await);
    }
    // The next two daemons by name become the watchers.
    let mut leaving: Vec<Gateway> = fleet.drain(..2).collect();
    leaving.iter().for_each(|g| g.process.terminate());
    for gateway in &mut leaving {
        assert_eq!(gateway.process.wait(EXIT_LIMIT).await, Some(0));
    }
    compio::time::sleep(PROPAGATION).await;
    let mut after = Vec::new();
    for gateway in &others {
        after.push(watch_calls(gateway).await);
    }
    assert_eq!(after, before);
}
