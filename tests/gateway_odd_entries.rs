//! One entry of another writer in the list of upstreams that can't be read, with a name of
//! its own. It must cost itself alone: the gateways go on following the store, and read it
//! after a restart. Real processes run against a stand-in store and upstreams.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION, start_gateways};
use standins::platform::site::{self, READ, SHARDS, Site, start_site};

/// Entries of another writer, more than the store lists in one page.
const ENTRIES: usize = 600;
const GATEWAYS: usize = 2;
const REQUESTS: usize = 20;
/// Time within which a gateway that starts reads the directory of a peer.
const PEER_READ: Duration = Duration::from_secs(5);
/// Log lines about all odd entries together, however often they are read.
const MOST_REPORTS: usize = 200;

/// Sends requests to each gateway; all must be served.
async fn assert_served(gateways: &[Gateway], when: &str) {
    for gateway in gateways {
        for n in 0..REQUESTS {
            let answer = gateway.get(&format!("{READ}{n}"), when).await;
            assert_eq!(answer.status(), StatusCode::OK, "{when}");
        }
    }
}

/// Waits until all gateways are ready.
async fn wait_until_ready(gateways: &[Gateway]) {
    for gateway in gateways {
        wait_until("the gateway is ready", PROPAGATION, async || {
            gateway.is_ready().await
        })
        .await;
    }
}

/// Writes a configuration with a route of its own; all gateways must put it in force.
async fn assert_followed(site: &Site, gateways: &[Gateway], version: u64) {
    let mut configuration = site::configuration(SHARDS, version);
    let mut route = configuration["routes"][1].clone();
    route["name"] = json!("added");
    route["prefix"] = json!(format!("/added-{version}/"));
    configuration["routes"].as_array_mut().unwrap().push(route);
    site::put(&site.store, "op/config", &configuration);
    for gateway in gateways {
        wait_until("the change is in force", PROPAGATION, async || {
            let path = format!("/added-{version}/1");
            gateway.get(&path, "added").await.status() == StatusCode::OK
        })
        .await;
    }
}

/// Each gateway must have reported odd entries, each once and not too many.
fn assert_reported(gateways: &[Gateway]) {
    for gateway in gateways {
        let log = gateway.process.read_log();
        let reports = log.matches("record ignored").count();
        assert!((1..=MOST_REPORTS).contains(&reports), "{reports} reports");
    }
}

async fn restart_all(gateways: &mut [Gateway]) {
    for gateway in gateways.iter_mut() {
        gateway.process.kill();
    }
    for gateway in gateways {
        gateway.restart().await;
    }
}

/// Guards against a service that stands still while one entry can't be read.
#[rstest]
#[case::text(" ", json!({ "value": "not base64!" }))]
#[case::cut_short("&", json!({ "value": "e30" }))]
#[case::number("+", json!({ "value": 7 }))]
#[case::large_number("#", json!({ "value": 1e300 }))]
#[case::null("%41", json!({ "value": null }))]
#[case::object("%", json!({ "value": { "service": "shard-0" } }))]
#[case::list(" ", json!({ "value": [101, 51] }))]
#[case::no_text("&", json!({ "value": "/w==" }))]
#[case::no_entry("+", json!({ "value": "NwA=" }))]
#[case::revision("#", json!({ "revision": "seven" }))]
#[case::negative_revision("%", json!({ "revision": -1 }))]
#[case::deletion(" ", json!({ "deleted": "no" }))]
#[case::key("&", json!({ "key": 7 }))]
#[case::no_item("+", json!("servers/"))]
#[compio::test]
async fn one_odd_entry_costs_itself_alone(#[case] mark: &str, #[case] odd: Value) {
    let site = start_site().await;
    for n in 0..ENTRIES {
        let key = format!("servers/box{n:03}");
        site::put(&site.store, &key, &json!("not an entry of an upstream"));
    }
    let backup = site.store.back_up();
    let mut gateways = start_gateways(&site, GATEWAYS).await;
    assert_served(&gateways, "before").await;
    // It is the last one of the list.
    let key = format!("servers/~{mark}1");
    site.store.put_odd(&key, odd.clone());
    assert_followed(&site, &gateways, 2).await;
    site.store.compact();
    assert_followed(&site, &gateways, 3).await;
    site.store.restore(&backup);
    site.store.put_odd(&key, odd);
    assert_followed(&site, &gateways, 4).await;
    assert_served(&gateways, "meanwhile").await;
    assert_reported(&gateways);
    restart_all(&mut gateways).await;
    wait_until_ready(&gateways).await;
    assert_served(&gateways, "after the restart").await;
    site.store.delete(&key);
    assert_followed(&site, &gateways, 5).await;
    assert_served(&gateways, "after").await;
}

/// Guards against a page that leads nowhere because its last entry can't be read.
#[rstest]
#[case::value(json!({ "value": 7 }))]
#[case::revision(json!({ "revision": null }))]
#[compio::test]
async fn pages_of_odd_entries_lead_on(#[case] odd: Value) {
    let site = start_site().await;
    for n in 0..ENTRIES {
        site.store
            .put_odd(&format!("servers/b &+#%{n:03}"), odd.clone());
    }
    let gateways = start_gateways(&site, GATEWAYS).await;
    wait_until_ready(&gateways).await;
    assert_served(&gateways, "while they stand").await;
}

/// Guards against an entry with the fields of an upstream, one of them with an extreme value,
/// that ends a process or stops it from following the store.
#[rstest]
#[case::slots(json!({ "capacity-slots": u64::MAX }))]
#[case::slots_as_many_as_bits(json!({ "capacity-slots": 1_u64 << 61 }))]
#[case::sequence(json!({ "seq": u64::MAX }))]
#[case::start(json!({ "born": u64::MAX }))]
#[case::cold(json!({ "cold-remaining-ms": 1e300 }))]
#[case::warm(json!({ "cold-remaining-ms": -1e300 }))]
#[case::port(json!({ "address": "127.0.0.1:0" }))]
#[case::broadcast(json!({ "address": "255.255.255.255:80" }))]
#[case::scope(json!({ "address": "[fe80::1%7]:80" }))]
#[case::domain(json!({ "zone": "a\n\"\u{1}\u{fc}" }))]
#[case::service(json!({ "service": "shard-0\n\"\u{1}\u{fc}" }))]
#[case::long_service(json!({ "service": "s".repeat(40_000) }))]
#[compio::test]
async fn an_extreme_value_ends_nothing(#[case] fields: Value) {
    let site = start_site().await;
    let mut entry = site.entry(0, 0, 1);
    // Nothing listens there.
    entry["address"] = json!("127.0.0.1:9");
    for (name, value) in fields.as_object().unwrap() {
        entry[name] = value.clone();
    }
    let mut gateways = start_gateways(&site, GATEWAYS).await;
    site::put(&site.store, "servers/~ &+#%", &entry);
    assert_followed(&site, &gateways, 2).await;
    assert_served(&gateways, "meanwhile").await;
    restart_all(&mut gateways).await;
    wait_until_ready(&gateways).await;
    assert_served(&gateways, "after the restart").await;
    assert_followed(&site, &gateways, 3).await;
    for gateway in &mut gateways {
        assert!(gateway.process.is_running());
        let log = gateway.process.read_log();
        assert!(!log.contains("panic"), "{log}");
    }
}

/// Guards against a gateway that passes an odd entry on in a form that its peers can't read:
/// one that starts while the store is away gets everything from its peers.
#[rstest]
#[case::value(json!({ "value": 7 }))]
#[case::revision(json!({ "revision": "seven" }))]
#[case::no_entry(json!({ "value": "NwA=" }))]
#[compio::test]
async fn odd_entries_are_passed_on_readably(#[case] odd: Value) {
    let site = start_site().await;
    let mut gateways = start_gateways(&site, GATEWAYS).await;
    // It is among the changes and, after the history is discarded, in the full list.
    site.store.put_odd("servers/~ &+#%", odd.clone());
    site.store.put_odd("op/evacuate/z &+#%", odd);
    assert_followed(&site, &gateways, 2).await;
    site.store.compact();
    assert_followed(&site, &gateways, 3).await;
    site.store.is_down.set(true);
    let last = gateways.last_mut().unwrap();
    last.restart().await;
    wait_until("the gateway is ready", PEER_READ, async || {
        last.is_ready().await
    })
    .await;
    assert_served(&gateways, "without the store").await;
}
