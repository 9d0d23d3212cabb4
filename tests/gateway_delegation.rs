//! Gateways with unequal processors: the small one hands its searches to the large one, and
//! runs them itself when that one is gone, frozen or about to exit. Real processes run
//! against a stand-in store and upstreams.

use std::time::Duration;

use clock::Millis;
use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION, start_gateway_with};
use standins::platform::site::{READ, SEARCH, SHARDS, Site, start_site};

const SEARCHES: usize = 20;
/// Service time of slow upstreams; the objective of searches is 100 ms, their deadline 1 s.
const SLOW_TIME: Millis = Millis(400);
/// Slow searches after which a route is at the lowest limit, which admits two.
const SEARCHES_TO_LIMIT: usize = 6;
const CONCURRENT: usize = 6;
/// Time in which a search is answered that first meets a large gateway which is gone.
const TAKEOVER_TIME: Millis = Millis(300);
/// A lost hand-over is noticed within the time that a search may take there; afterwards
/// searches run on the small gateway for some seconds.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Starts a small gateway and then a large one.
async fn start(site: &Site, small: f64, large: f64) -> [Gateway; 2] {
    let limits = |share: f64| json!({ "cpu-share": share, "cpu-cores": 1 });
    let store = site.store_address;
    let first = start_gateway_with("a", store, &[], limits(small)).await;
    let seeds = [first.endpoints];
    let second = start_gateway_with("a", store, &seeds, limits(large)).await;
    for gateway in [&first, &second] {
        wait_until("the gateway is ready", PROPAGATION, async || {
            gateway.is_ready().await
        })
        .await;
    }
    compio::time::sleep(PROPAGATION).await;
    [first, second]
}

async fn counter(gateway: &Gateway, name: &str) -> f64 {
    let page = gateway.metrics("/metrics").await;
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0.0)
}

async fn sends(gateway: &Gateway) -> f64 {
    counter(gateway, "coltsfootgw_sends_total").await
}

async fn search(gateway: &Gateway, name: &str) -> StatusCode {
    let answer = gateway.get(&format!("{SEARCH}{name}"), name).await;
    answer.status()
}

async fn assert_served(gateway: &Gateway, name: &str) {
    for n in 0..SEARCHES {
        let status = search(gateway, &format!("{name}-{n}")).await;
        assert_eq!(status, StatusCode::OK, "{name}-{n}");
    }
}

/// Guards against searches that stay on a processor which takes longer for them than
/// their objective.
#[compio::test]
async fn a_small_gateway_hands_its_searches_to_a_large_one() {
    let site = start_site().await;
    let [small, large] = start(&site, 0.1, 0.5).await;
    assert_served(&small, "s").await;
    assert_eq!(sends(&small).await, 0.0);
    assert!(sends(&large).await >= (SEARCHES * SHARDS) as f64);
    // Requests to one upstream are not worth the way.
    let read = small.get(&format!("{READ}1"), "r-1").await;
    assert_eq!(read.status(), StatusCode::OK);
    assert_eq!(sends(&small).await, 1.0);
}

#[rstest]
#[case::equal(0.25, 0.25)]
#[case::small_gain(0.2, 0.3)]
#[compio::test]
async fn gateways_with_similar_processors_run_their_searches_themselves(
    #[case] small: f64,
    #[case] large: f64,
) {
    let site = start_site().await;
    let [small, large] = start(&site, small, large).await;
    assert_served(&small, "s").await;
    assert!(sends(&small).await >= (SEARCHES * SHARDS) as f64);
    assert_eq!(sends(&large).await, 0.0);
}

/// Guards against searches that are lost, or wait for the lease of a gateway to end, when
/// the gateway that they are handed to is killed.
#[compio::test]
async fn searches_run_on_the_small_gateway_when_the_large_one_is_gone() {
    let site = start_site().await;
    let [small, mut large] = start(&site, 0.1, 0.5).await;
    assert_served(&small, "before").await;
    large.process.kill();
    let began = Millis::now();
    assert_eq!(search(&small, "first").await, StatusCode::OK);
    let took = Millis::now().since(began);
    assert!(took < TAKEOVER_TIME, "{took}");
    assert_served(&small, "after").await;
}

/// Guards against a frozen gateway that holds up every search of the others: one search is
/// at risk, and the next run elsewhere.
#[compio::test]
async fn searches_run_on_the_small_gateway_when_the_large_one_is_frozen() {
    let site = start_site().await;
    let [small, large] = start(&site, 0.1, 0.5).await;
    assert_served(&small, "before").await;
    large.process.freeze();
    let began = Millis::now();
    search(&small, "first").await;
    let took = Millis::now().since(began);
    assert!(took < Millis(NOTICE_TIME.as_millis() as u64), "{took}");
    assert_served(&small, "after").await;
    large.process.resume();
}

/// Lets all upstreams take longer than the large gateway had for an answer once: two
/// objectives.
fn slow_down(site: &Site) {
    for upstream in site.shards.iter().flatten() {
        upstream.service_time.set(SLOW_TIME);
    }
}

/// Guards against searches that are given up at the small gateway while the large one still
/// waits for slow upstreams: its answer would have come in time for the caller.
#[compio::test]
async fn a_search_that_takes_long_on_the_large_gateway_is_answered() {
    let site = start_site().await;
    let [small, large] = start(&site, 0.1, 0.5).await;
    assert_served(&small, "before").await;
    slow_down(&site);
    for n in 0..3 {
        let status = search(&small, &format!("slow-{n}")).await;
        assert_eq!(status, StatusCode::OK, "slow-{n}");
    }
    assert_eq!(sends(&small).await, 0.0);
    assert!(sends(&large).await > 0.0);
}

/// Guards against callers that are refused because the large gateway is at the limit of the
/// route, though the small one has room.
#[compio::test]
async fn searches_beyond_the_limit_of_the_large_gateway_run_on_the_small_one() {
    let site = start_site().await;
    let [small, _large] = start(&site, 0.1, 0.5).await;
    slow_down(&site);
    // These miss their objective, which lowers the limit.
    for n in 0..SEARCHES_TO_LIMIT {
        search(&small, &format!("miss-{n}")).await;
    }
    let searches = (0..CONCURRENT).map(|n| {
        let name = format!("many-{n}");
        let small = &small;
        async move { search(small, &name).await }
    });
    let statuses = join_all(searches).await;
    assert!(
        statuses.iter().all(|s| *s == StatusCode::OK),
        "{statuses:?}"
    );
    assert!(sends(&small).await > 0.0);
}
