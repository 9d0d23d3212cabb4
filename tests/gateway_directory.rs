//! How a gateway follows changes of its directory in the store, and goes on
//! without the store. Real processes run against a stand-in store and upstreams.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use standins::fleet::wait_until;
use standins::platform::gateway::{PROPAGATION, ready, start_gateway};
use standins::platform::site::{self, READ, SEARCH, SHARDS, start_site};

#[compio::test]
async fn nothing_is_sent_to_an_upstream_that_drains_or_is_deleted() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site.report(0, 0, "draining", 2);
    compio::time::sleep(PROPAGATION).await;
    let ran_before = site.shards[0][0].ran.borrow().len();
    for i in 0..10 {
        let answer = gateway.get(&format!("{READ}{i}"), &format!("r{i}")).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(site.shards[0][0].ran.borrow().len(), ran_before);
    // A late report with a lower sequence number doesn't make it ready again.
    site.report(0, 0, "ready", 1);
    site.store.delete("servers/u-0-1");
    compio::time::sleep(PROPAGATION).await;
    let refused = gateway.get(&format!("{READ}1"), "last").await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(site.runs("last"), 0);
}

#[compio::test]
async fn a_change_is_in_force_after_the_store_compacted_its_history() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site::put(&site.store, "servers/foreign", &json!({ "state": 7 }));
    let mut configuration = site::configuration(SHARDS, 2);
    configuration["routes"][1]["prefix"] = json!("/moved/");
    site::put(&site.store, "op/config", &configuration);
    site.store.compact();
    let is_moved = async || gateway.get("/moved/1", "r1").await.status() == StatusCode::OK;
    wait_until("the change is in force", PROPAGATION, is_moved).await;
    let old = gateway.get(&format!("{READ}1"), "r2").await;
    assert_eq!(old.status(), StatusCode::NOT_FOUND);
    // An unreadable configuration changes nothing.
    site::put(&site.store, "op/config", &json!({ "version": 3 }));
    compio::time::sleep(PROPAGATION).await;
    assert!(is_moved().await);
}

#[compio::test]
async fn without_the_store_a_daemon_gets_the_directory_from_its_peers() {
    let site = start_site().await;
    let first = ready(&site).await;
    site.store.is_down.set(true);
    let answer = first.get(&format!("{SEARCH}1"), "r1").await;
    assert_eq!(answer.status(), StatusCode::OK);
    let second = start_gateway(&site, &[first.endpoints]).await;
    let early = second.get(&format!("{SEARCH}1"), "r2").await;
    assert_eq!(early.status(), StatusCode::SERVICE_UNAVAILABLE);
    wait_until("the second is ready", Duration::from_secs(5), async || {
        second.is_ready().await
    })
    .await;
    let answer = second.get(&format!("{SEARCH}1"), "r3").await;
    assert_eq!(answer.status(), StatusCode::OK);
}
