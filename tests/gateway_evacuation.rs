//! Evacuation of failure domains by keys in the store. Real processes run against a
//! stand-in store and upstreams.

use std::time::{Duration, Instant};

use bytes::Bytes;
use clock::Millis;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION, ready, retry_after_s, start_gateway};
use standins::platform::paced_load::{outcomes_since, served_share, start_loads};
use standins::platform::site::{READ, SEARCH, Site, Size, WRITE, put};

const DOMAINS: [&str; 2] = ["a", "b"];
const INTERVAL: Millis = Millis(50);
/// Time over which requests are counted.
const COUNTED: Duration = Duration::from_secs(3);
const REFUSAL_TIME: Duration = Duration::from_millis(100);
const REQUESTS: usize = 20;

/// Starts a site with two shards, each with an upstream in each of two failure domains.
async fn start_site() -> Site {
    let size = Size {
        shards: 2,
        replicas: DOMAINS.len(),
        service_time: Millis(5),
    };
    let site = Site::start(size).await.expect("loopback ports are free");
    for shard in 0..size.shards {
        for (replica, domain) in DOMAINS.iter().enumerate() {
            site.report_fields(shard, replica, 2, &json!({ "zone": domain }));
        }
    }
    site
}

fn key(domain: &str) -> String {
    format!("op/evacuate/{domain}")
}

fn evacuate(site: &Site, domain: &str) {
    put(&site.store, &key(domain), &json!("any value"));
}

/// Returns the requests that reached the upstreams of a domain at `from` or later.
fn arrivals(site: &Site, replica: usize, from: Millis) -> usize {
    let upstreams = site.shards.iter().map(|shard| &shard[replica]);
    let later = upstreams.map(|u| u.arrivals.borrow().iter().filter(|at| **at >= from).count());
    later.sum()
}

async fn knows(gateway: &Gateway, domains: usize) -> bool {
    let metrics = gateway.metrics("/metrics").await;
    let line = format!("coltsfootgw_evacuated_domains {domains}");
    metrics.lines().any(|l| l == line)
}

async fn wait_until_known(gateway: &Gateway, domains: usize) {
    wait_until("the evacuation is known", PROPAGATION, async || {
        knows(gateway, domains).await
    })
    .await;
}

async fn wait_until_ready(gateway: &Gateway) {
    wait_until("the gateway is ready", 2 * PROPAGATION, async || {
        gateway.is_ready().await
    })
    .await;
}

async fn start_gateways(site: &Site, count: usize) -> Vec<Gateway> {
    let mut all: Vec<Gateway> = Vec::new();
    for _ in 0..count {
        let seeds: Vec<_> = all.iter().map(|g| g.endpoints).collect();
        all.push(start_gateway(site, &seeds).await);
    }
    for gateway in &all {
        wait_until_ready(gateway).await;
    }
    all
}

/// All gateways are in the domain that is evacuated and prefer its upstreams.
#[rstest]
#[case::reads(READ)]
#[case::searches(SEARCH)]
#[compio::test]
async fn nothing_is_sent_to_an_evacuated_domain_and_all_requests_are_served(#[case] prefix: &str) {
    let site = start_site().await;
    let mut gateways = start_gateways(&site, 3).await;
    let load = start_loads(&gateways, prefix, INTERVAL);
    compio::time::sleep(COUNTED).await;
    let started = Millis::now();
    evacuate(&site, DOMAINS[0]);
    compio::time::sleep(PROPAGATION + COUNTED).await;
    let from = started + PROPAGATION.into();
    assert_eq!(arrivals(&site, 0, from), 0, "after the evacuation");
    assert!(arrivals(&site, 1, from) > 0);
    let share = served_share(&outcomes_since(&load, started));
    assert!(share > 0.99, "served {share} during the evacuation");
    for gateway in &gateways {
        gateway
            .process
            .wait_for_line("failure domain evacuated")
            .await;
        let state: Value = serde_json::from_str(&gateway.metrics("/state").await).unwrap();
        assert_eq!(state["evacuated"], json!([DOMAINS[0]]));
    }
    // A process that starts meanwhile knows of it before its first request.
    gateways[0].restart().await;
    wait_until_ready(&gateways[0]).await;
    compio::time::sleep(COUNTED).await;
    assert_eq!(arrivals(&site, 0, from), 0, "after a restart");
    let ended = Millis::now();
    site.store.delete(&key(DOMAINS[0]));
    compio::time::sleep(PROPAGATION + COUNTED).await;
    assert!(arrivals(&site, 0, ended + PROPAGATION.into()) > 0);
    let share = served_share(&outcomes_since(&load, ended));
    assert!(share > 0.99, "served {share} after the evacuation");
    for gateway in &gateways {
        gateway.process.wait_for_line("evacuation ended").await;
    }
}

#[compio::test]
async fn without_the_store_a_gateway_learns_of_an_evacuation_from_its_peers() {
    let site = start_site().await;
    let first = ready(&site).await;
    evacuate(&site, DOMAINS[0]);
    wait_until_known(&first, 1).await;
    site.store.is_down.set(true);
    let second = start_gateway(&site, &[first.endpoints]).await;
    wait_until_ready(&second).await;
    let from = Millis::now();
    for gateway in [&first, &second] {
        for n in 0..REQUESTS {
            let id = format!("r{n}");
            let answer = gateway.get(&format!("{SEARCH}{id}"), &id).await;
            assert_eq!(answer.status(), StatusCode::OK);
        }
    }
    assert_eq!(arrivals(&site, 0, from), 0);
    assert!(arrivals(&site, 1, from) > 0);
    // The evacuation outlasts the outage, and ends only with its key.
    site.store.is_down.set(false);
    compio::time::sleep(PROPAGATION).await;
    assert!(knows(&first, 1).await && knows(&second, 1).await);
    site.store.delete(&key(DOMAINS[0]));
    wait_until_known(&first, 0).await;
    wait_until_known(&second, 0).await;
}

#[rstest]
#[case::read(Method::GET, READ)]
#[case::search(Method::GET, SEARCH)]
#[case::write(Method::POST, WRITE)]
#[compio::test]
async fn requests_are_refused_at_once_as_not_run_when_all_domains_are_evacuated(
    #[case] method: Method,
    #[case] prefix: &str,
) {
    let site = start_site().await;
    let gateway = ready(&site).await;
    DOMAINS.iter().for_each(|domain| evacuate(&site, domain));
    wait_until_known(&gateway, DOMAINS.len()).await;
    let from = Millis::now();
    for n in 0..REQUESTS {
        let (id, began) = (format!("r{n}"), Instant::now());
        let path = format!("{prefix}{id}");
        let answer = gateway.send(method.clone(), &path, &id, Bytes::new()).await;
        let elapsed = began.elapsed();
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(retry_after_s(&answer).is_some());
        assert!(elapsed < REFUSAL_TIME, "refused after {elapsed:?}");
    }
    assert_eq!(arrivals(&site, 0, from) + arrivals(&site, 1, from), 0);
}

#[compio::test]
async fn an_evacuated_domain_without_upstreams_has_no_effect() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    evacuate(&site, "nowhere");
    wait_until_known(&gateway, 1).await;
    gateway
        .process
        .wait_for_line("failure domain evacuated")
        .await;
    for n in 0..REQUESTS {
        let id = format!("r{n}");
        let answer = gateway.get(&format!("{SEARCH}{id}"), &id).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
}
