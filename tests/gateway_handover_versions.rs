//! A gateway that reaches no upstream hands requests to gateways with different versions
//! of the configuration. A real process runs against a stand-in store and peers.

use std::time::Duration;

use http::StatusCode;
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION};
use standins::platform::link::{LinkState, Links};
use standins::platform::parted::start_parted;
use standins::platform::peer::start_peer;
use standins::platform::site::{self, READ, SHARDS, start_site};

const OLD: u64 = 2;
const NEW: u64 = 9;
const REQUESTS: usize = 60;

/// Starts a gateway that reaches no upstream, and waits until a peer serves its callers.
async fn start_served_by_peers(links: &Links) -> Gateway {
    let gateway = start_parted(links).await;
    wait_until("a peer answers", PROPAGATION, async || {
        let answer = gateway.get(&format!("{READ}0"), "probe").await;
        answer.status() == StatusCode::OK
    })
    .await;
    gateway
}

/// Sends a read; returns the version that served it, the gateway's own if an upstream did.
async fn serving_version(gateway: &Gateway, id: usize) -> u64 {
    let answer = gateway
        .get(&format!("{READ}{id}"), &format!("r-{id}"))
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(!answer.headers().contains_key("coltsfootgw-version"));
    let text = std::str::from_utf8(answer.body()).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(1)
}

/// Guards against callers of one gateway being served by a newer configuration and then by an
/// older one.
#[compio::test]
async fn handed_over_requests_are_never_served_by_an_older_version_than_before() {
    let site = start_site().await;
    let links = Links::start(&site).await;
    let (old, new) = (start_peer(&site, OLD).await, start_peer(&site, NEW).await);
    let gateway = start_served_by_peers(&links).await;
    let mut versions = Vec::new();
    for id in 0..REQUESTS {
        versions.push(serving_version(&gateway, id).await);
    }
    println!("{} by the old one, {} by the new", old.get(), new.get());
    assert!(versions.contains(&NEW), "{versions:?}");
    assert!(versions.is_sorted(), "{versions:?}");
}

/// Guards against the same when the gateway's own links return before it has the newer
/// configuration.
#[compio::test]
async fn a_gateway_whose_links_return_does_not_serve_by_an_older_version_than_its_peers() {
    let site = start_site().await;
    let links = Links::start(&site).await;
    start_peer(&site, NEW).await;
    let gateway = start_served_by_peers(&links).await;
    assert_eq!(serving_version(&gateway, 0).await, NEW);
    links.set(LinkState::Up).await;
    compio::time::sleep(Duration::from_secs(2)).await;
    for id in 1..10 {
        assert_eq!(serving_version(&gateway, id).await, NEW);
    }
    site::put(&site.store, "op/config", &site::configuration(SHARDS, NEW));
    let is_here = async || {
        let before = site.runs("r-10");
        serving_version(&gateway, 10).await;
        site.runs("r-10") > before
    };
    wait_until("the gateway serves again", PROPAGATION, is_here).await;
}
