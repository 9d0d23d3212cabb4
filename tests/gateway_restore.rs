//! A store that is restored from a backup some seconds old, without the latest
//! writes and leases: what gateways serve meanwhile and learn afterwards. Real
//! processes run against a stand-in store and upstreams.

use std::time::Duration;

use clock::Millis;
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION, ready, start_gateway};
use standins::platform::site::{self, READ, SEARCH, SHARDS, Site, start_site};

const INSTANCES: &str = "coltsfootgw/instances/";
/// Upstreams write their entries again within this time.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);
/// Registrations are made again within this time.
const REGISTRATION_TIME: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_millis(300);
/// One of so many answers may be partial.
const MAX_PARTIAL: usize = 20;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn moved(version: u64, prefix: &str) -> Value {
    let mut configuration = site::configuration(SHARDS, version);
    configuration["routes"][1]["prefix"] = json!(prefix);
    configuration
}

/// Writes the entries of all upstreams of a shard again.
fn report_shard(site: &Site, shard: usize, seq: u64) {
    for replica in 0..site.shards[shard].len() {
        site.report(shard, replica, "ready", seq);
    }
}

async fn is_served(gateway: &Gateway, path: &str) -> bool {
    gateway.get(path, "probe").await.status() == StatusCode::OK
}

/// Sends requests until the end; returns the statuses other than 200.
async fn send_steadily(gateway: &Gateway, path: &str, time: Duration) -> Vec<StatusCode> {
    let end = Millis::now() + Millis(time.as_millis() as u64);
    let mut failures = Vec::new();
    while Millis::now() < end {
        let answer = gateway.get(path, "steady").await;
        if answer.status() != StatusCode::OK {
            failures.push(answer.status());
        }
        compio::time::sleep(REQUEST_INTERVAL).await;
    }
    failures
}

/// Returns how many shards a search covers.
async fn count_shards(gateway: &Gateway, path: &str) -> usize {
    let answer = gateway.get(path, "search").await;
    assert_eq!(answer.status(), StatusCode::OK);
    let stamps = answer.headers()["part-stamps"].to_str().unwrap();
    stamps.split(',').count()
}

/// Searches until the end and checks that the answers cover all shards, apart from
/// a few that a busy machine makes late.
async fn check_coverage(gateway: &Gateway, path: &str, time: Duration) {
    let end = Millis::now() + Millis(time.as_millis() as u64);
    let (mut total, mut partial) = (0, 0);
    while Millis::now() < end {
        total += 1;
        partial += usize::from(count_shards(gateway, path).await < SHARDS);
    }
    assert!(
        partial * MAX_PARTIAL <= total,
        "{partial} of {total} answers are partial"
    );
}

/// How often the store is restored.
#[rstest]
#[case::once(1)]
#[case::twice_in_a_row(2)]
#[compio::test]
async fn a_gateway_serves_on_and_follows_a_restored_store(#[case] times: usize) {
    let site = start_site().await;
    site.store.epoch.set(4);
    let gateway = ready(&site).await;
    let backup = site.store.back_up();
    // Lost: a later configuration, and an upstream that is known to drain.
    site::put(&site.store, "op/config", &moved(2, "/moved/"));
    site.report(0, 0, "draining", 5);
    for seq in 2..40 {
        site.report(1, 0, "ready", seq);
    }
    wait_until("version 2 is in force", PROPAGATION, async || {
        is_served(&gateway, "/moved/1").await
    })
    .await;
    let lost_revision = site.store.revision();
    for _ in 0..times {
        site.store.is_down.set(true);
        compio::time::sleep(OUTAGE).await;
        site.store.restore(&backup);
        site.store.is_down.set(false);
        compio::time::sleep(OUTAGE).await;
    }
    let ran_before = site.shards[0][0].ran.borrow().len();
    let failures = send_steadily(&gateway, "/moved/1", REWRITE_TIME).await;
    assert!(failures.is_empty(), "{failures:?}");
    assert_eq!(
        site.shards[0][0].ran.borrow().len(),
        ran_before,
        "requests reached an upstream that drains"
    );
    // The older version in the backup must not replace the one in force.
    let old = gateway.get(&format!("{READ}1"), "old").await;
    assert_eq!(old.status(), StatusCode::NOT_FOUND);
    site::put(&site.store, "op/config", &moved(3, "/third/"));
    assert!(site.store.revision() < lost_revision);
    wait_until("version 3 is in force", PROPAGATION, async || {
        is_served(&gateway, "/third/1").await
    })
    .await;
    let log = gateway.process.read_log();
    assert!(log.contains("store restored"), "{log}");
}

/// An upstream that registers after the backup keeps its place until it has had the
/// time to write its entry again, and loses it if it does not.
#[rstest]
#[case::written_again(true)]
#[case::not_written_again(false)]
#[compio::test]
async fn entries_that_a_restored_store_lacks_have_time_to_return(#[case] is_rewritten: bool) {
    let site = start_site().await;
    site.store.epoch.set(1);
    site.store.delete("servers/u-0-0");
    site.store.delete("servers/u-0-1");
    let backup = site.store.back_up();
    report_shard(&site, 0, 2);
    let gateway = ready(&site).await;
    let path = format!("{READ}1");
    wait_until("the shard is served", PROPAGATION, async || {
        is_served(&gateway, &path).await
    })
    .await;
    site.store.restore(&backup);
    let failures = send_steadily(&gateway, &path, REWRITE_TIME).await;
    assert!(failures.is_empty(), "{failures:?}");
    if is_rewritten {
        report_shard(&site, 0, 3);
    }
    compio::time::sleep(2 * PROPAGATION).await;
    assert_eq!(is_served(&gateway, &path).await, is_rewritten);
}

/// The backup lacks both the configuration that names more shards and the upstreams of
/// these.
#[compio::test]
async fn a_search_covers_all_shards_when_a_reshard_is_lost() {
    const SHARDS_BEFORE: usize = 2;
    let site = start_site().await;
    site.store.epoch.set(1);
    site::put(
        &site.store,
        "op/config",
        &site::configuration(SHARDS_BEFORE, 2),
    );
    for shard in SHARDS_BEFORE..SHARDS {
        for upstream in &site.shards[shard] {
            site.store.delete(&format!("servers/{}", upstream.id));
        }
    }
    let gateway = ready(&site).await;
    let backup = site.store.back_up();
    for shard in SHARDS_BEFORE..SHARDS {
        report_shard(&site, shard, 2);
    }
    let reshard = site::configuration(SHARDS, 3);
    site::put(&site.store, "op/config", &reshard);
    let path = format!("{SEARCH}1");
    wait_until("the reshard is in force", PROPAGATION, async || {
        count_shards(&gateway, &path).await == SHARDS
    })
    .await;
    site.store.restore(&backup);
    check_coverage(&gateway, &path, REWRITE_TIME).await;
    for shard in SHARDS_BEFORE..SHARDS {
        report_shard(&site, shard, 3);
    }
    site::put(&site.store, "op/config", &reshard);
    check_coverage(&gateway, &path, 2 * PROPAGATION).await;
}

/// The lease of a gateway can be given out again by a restored store, so the
/// gateway takes a new one and leaves the old one alone.
#[compio::test]
async fn a_gateway_registers_again_under_a_new_lease() {
    let site = start_site().await;
    site.store.epoch.set(1);
    let backup = site.store.back_up();
    let mut gateway = ready(&site).await;
    gateway.process.wait_for_line("\"registered\"").await;
    let last_lease = site.store.revision();
    let registered = async || site.store.has(INSTANCES);
    site.store.restore(&backup);
    assert!(!registered().await);
    // Others are given the leases that the gateway may have had.
    let mut others = Vec::new();
    while site.store.revision() < last_lease {
        others.push(site.store.grant(Millis(60_000)));
    }
    wait_until("the gateway is registered", REGISTRATION_TIME, registered).await;
    gateway.process.terminate();
    gateway.process.wait(REGISTRATION_TIME).await;
    assert!(!registered().await);
    assert!(others.iter().all(|lease| site.store.is_live(*lease)));
}

/// Gateways that get the directory from a watcher learn of a restored store from it,
/// and one that starts while the store is restored reads all of it.
#[compio::test]
async fn all_gateways_of_a_site_follow_a_restored_store() {
    const GATEWAYS: usize = 5;
    let site = start_site().await;
    site.store.epoch.set(1);
    let backup = site.store.back_up();
    let mut gateways = vec![ready(&site).await];
    for _ in 1..GATEWAYS {
        gateways.push(start_gateway(&site, &[gateways[0].endpoints]).await);
    }
    for gateway in &gateways {
        wait_until("the gateway is ready", PROPAGATION, async || {
            gateway.is_ready().await
        })
        .await;
    }
    // All are in one failure domain, where two of them watch the store.
    compio::time::sleep(2 * PROPAGATION).await;
    site::put(&site.store, "op/config", &moved(2, "/moved/"));
    compio::time::sleep(PROPAGATION).await;
    let starting = start_gateway(&site, &[gateways[0].endpoints]).await;
    site.store.restore(&backup);
    gateways.push(starting);
    site::put(&site.store, "op/config", &moved(3, "/third/"));
    for gateway in &gateways {
        wait_until("version 3 is in force", PROPAGATION, async || {
            is_served(gateway, "/third/1").await
        })
        .await;
    }
}
