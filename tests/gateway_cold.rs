//! Cold upstreams with a limit on the rate of requests from all gateways together. Real
//! processes run against a stand-in store and upstreams.

use std::time::Duration;

use clock::Millis;
use rstest::rstest;
use serde_json::{Value, json};
use standins::platform::gateway::{Gateway, PROPAGATION, start_gateways};
use standins::platform::paced_load::{outcomes_since, served_share, start_loads};
use standins::platform::site::{READ, SEARCH, Site, Size, configuration, put};

const GATEWAYS: usize = 7;
const REPLICAS: usize = 3;
/// Requests a second that an upstream takes while it is cold. Each gateway has a whole
/// token at the higher one, and a part of a token at the lower one.
const RATES: [f64; 2] = [8.0, 4.0];
const COLD_MS: u64 = 9_000;
const COLD: Duration = Duration::from_millis(COLD_MS);
const WINDOW: Millis = Millis(1_000);
/// Requests a second that each gateway gets.
const REQUESTS_PER_SECOND: f64 = 20.0;
const INTERVAL: Millis = Millis(50);
/// A caller that can't be served is told within this time.
const REFUSAL_TIME: Millis = Millis(150);

async fn start(rate: f64, shards: usize) -> (Site, Vec<Gateway>) {
    let size = Size {
        shards,
        replicas: REPLICAS,
        service_time: Millis(5),
    };
    let site = Site::start(size).await.expect("loopback ports are free");
    let mut limited = configuration(shards, 2);
    for shard in 0..shards {
        limited["services"][shard]["cold-per-s"] = json!(rate);
    }
    put(&site.store, "op/config", &limited);
    let all = start_gateways(&site, GATEWAYS).await;
    (site, all)
}

/// Lets upstreams report that they are cold; returns when the gateways know of it.
fn turn_cold(site: &Site, replicas: usize, seq: u64) -> Millis {
    for shard in 0..site.shards.len() {
        for replica in 0..replicas {
            let fields = json!({ "cold-remaining-ms": COLD_MS });
            site.report_fields(shard, replica, seq, &fields);
        }
    }
    Millis::now() + PROPAGATION.into()
}

fn allowed(rate: f64) -> f64 {
    rate * 1.5 + 5.0
}

/// Fails if a cold upstream got more in some window that began at `from` or later.
fn assert_limit_held(site: &Site, replicas: usize, rate: f64, from: Millis) {
    let allowed = allowed(rate);
    for upstream in site.shards.iter().flat_map(|shard| &shard[..replicas]) {
        let got = upstream.busiest_window(from, WINDOW);
        println!("{}: {got} in a window, {allowed} allowed", upstream.id);
        assert!(got as f64 <= allowed, "{}: {got} of {allowed}", upstream.id);
    }
}

#[rstest]
#[case::whole_tokens(RATES[0])]
#[case::parts_of_tokens(RATES[1])]
#[compio::test]
async fn a_cold_upstream_gets_its_rate_each_time_that_it_is_cold_and_others_serve_the_rest(
    #[case] rate: f64,
) {
    const COLD_REPLICAS: usize = 2;
    let (site, gateways) = start(rate, 1).await;
    let load = start_loads(&gateways, READ, INTERVAL);
    compio::time::sleep(Duration::from_secs(2)).await;
    for seq in [2, 3] {
        let began = Millis::now();
        let known = turn_cold(&site, COLD_REPLICAS, seq);
        compio::time::sleep(COLD).await;
        assert_limit_held(&site, COLD_REPLICAS, rate, known);
        let share = served_share(&outcomes_since(&load, began));
        assert!(share > 0.99, "{share}");
        // The report is a while old when the gateways see it.
        compio::time::sleep(PROPAGATION).await;
        let warm = Millis::now();
        compio::time::sleep(Duration::from_secs(2)).await;
        let got = site.shards[0][0].busiest_window(warm, WINDOW);
        assert!(got as f64 > allowed(rate), "{got} when it is warm");
    }
}

#[rstest]
#[case::reads(1, READ, RATES[0])]
#[case::searches(2, SEARCH, RATES[0])]
#[case::searches_by_parts_of_tokens(2, SEARCH, RATES[1])]
#[compio::test]
async fn callers_beyond_the_rates_of_cold_upstreams_are_refused_at_once(
    #[case] shards: usize,
    #[case] prefix: &str,
    #[case] rate: f64,
) {
    let (site, gateways) = start(rate, shards).await;
    let load = start_loads(&gateways, prefix, INTERVAL);
    compio::time::sleep(Duration::from_secs(1)).await;
    let known = turn_cold(&site, REPLICAS, 2);
    compio::time::sleep(PROPAGATION).await;
    let state: Value = serde_json::from_str(&gateways[0].metrics("/state").await).unwrap();
    assert_eq!(state["services"][0]["upstreams"][0]["is_cold"], json!(true));
    compio::time::sleep(COLD - PROPAGATION).await;
    assert_limit_held(&site, REPLICAS, rate, known);
    let outcomes = outcomes_since(&load, known);
    let share = served_share(&outcomes);
    let possible = rate * REPLICAS as f64 / (REQUESTS_PER_SECOND * GATEWAYS as f64);
    assert!(share > 0.7 * possible, "{share} of {possible}");
    for refused in outcomes.iter().filter(|o| !o.is_served()) {
        assert_eq!(refused.status.map(|s| s.as_u16()), Some(503), "{refused:?}");
        assert!(refused.elapsed < REFUSAL_TIME, "{refused:?}");
        assert!(refused.retry_after_s.is_some(), "{refused:?}");
    }
    compio::time::sleep(PROPAGATION).await;
    let warm = Millis::now();
    compio::time::sleep(Duration::from_secs(2)).await;
    let share = served_share(&outcomes_since(&load, warm));
    assert!(share > 0.99, "served {share} once they are warm");
}
