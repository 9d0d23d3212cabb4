//! Upstreams that name the rate of requests that they take from all gateways together:
//! what they get, and what becomes of the callers. Real processes run against a
//! stand-in store and upstreams.

use std::time::Duration;

use clock::Millis;
use rstest::rstest;
use standins::platform::gateway::{Gateway, PROPAGATION, start_gateway, start_gateways};
use standins::platform::paced_load::{outcomes_since, served_share, start_loads};
use standins::platform::site::{READ, SEARCH, Site, Size};

/// Upstreams of each shard.
const REPLICAS: usize = 3;
/// Requests a second that each gateway gets.
const REQUESTS_PER_SECOND: f64 = 20.0;
const INTERVAL: Millis = Millis(50);
/// Limits hold this long after they were first named (`stable-window-ms`).
const STABLE_WINDOW: Millis = Millis(4_000);
/// Time over which requests are counted.
const WINDOW: Millis = Millis(4_000);
const WINDOW_S: f64 = 4.0;
/// Requests that an upstream may get beyond one and a half times its limit.
const SLACK: f64 = 5.0;
const RUN_TIME: Duration = Duration::from_secs(13);
/// A caller that can't be served is told within this time.
const REFUSAL_TIME: Millis = Millis(150);
/// Time after the end of a limit in which the last requests are still refused.
const END_TIME: Duration = Duration::from_secs(2);

async fn start(gateways: usize, shards: usize) -> (Site, Vec<Gateway>) {
    let size = Size {
        shards,
        replicas: REPLICAS,
        service_time: Millis(5),
    };
    let site = Site::start(size).await.expect("loopback ports are free");
    let all = start_gateways(&site, gateways).await;
    (site, all)
}

fn set_limit(site: &Site, replicas: usize, limit: Option<f64>) {
    for shard in &site.shards {
        for upstream in &shard[..replicas] {
            upstream.rate_limit.set(limit);
        }
    }
}

/// Fails if a limited upstream got more in some window than its limit allows.
fn assert_limit_held(site: &Site, replicas: usize, limit: f64, from: Millis) {
    let allowed = limit * 1.5 * WINDOW_S + SLACK;
    for upstream in site.shards.iter().flat_map(|shard| &shard[..replicas]) {
        let got = upstream.busiest_window(from, WINDOW);
        println!("{}: {got} in a window, {allowed} allowed", upstream.id);
        assert!(got as f64 <= allowed, "{}: {got} of {allowed}", upstream.id);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// One gateway after the other is killed and started again.
    Restarts,
    /// The store refuses calls from the moment of the limit on.
    StoreAway,
    /// A gateway is added that has heard of no limit.
    Added,
}

#[rstest]
#[case::one_gateway(1, 1, 8.0, Trouble::None)]
#[case::seven_gateways(7, 1, 20.0, Trouble::None)]
#[case::low_limit(7, 1, 2.0, Trouble::None)]
#[case::with_restarts(7, 1, 20.0, Trouble::Restarts)]
#[case::store_away(7, 1, 20.0, Trouble::StoreAway)]
#[case::gateway_added(6, 1, 20.0, Trouble::Added)]
#[case::searches(7, 2, 20.0, Trouble::None)]
#[compio::test]
async fn an_upstream_gets_no_more_from_all_gateways_than_the_rate_it_named(
    #[case] gateways: usize,
    #[case] shards: usize,
    #[case] limit: f64,
    #[case] trouble: Trouble,
) {
    const LIMITED: usize = 2;
    let (site, mut gateways) = start(gateways, shards).await;
    let prefix = match shards {
        1 => READ,
        _ => SEARCH,
    };
    let mut load = start_loads(&gateways, prefix, INTERVAL);
    compio::time::sleep(Duration::from_secs(1)).await;
    set_limit(&site, LIMITED, Some(limit));
    site.store.is_down.set(trouble == Trouble::StoreAway);
    let named = Millis::now();
    match trouble {
        Trouble::None | Trouble::StoreAway => compio::time::sleep(RUN_TIME).await,
        Trouble::Restarts => {
            for gateway in gateways.iter_mut().take(4) {
                compio::time::sleep(RUN_TIME / 4).await;
                gateway.restart().await;
            }
        }
        Trouble::Added => {
            compio::time::sleep(RUN_TIME / 3).await;
            let seeds = [gateways[0].endpoints];
            gateways.push(start_gateway(&site, &seeds).await);
            compio::time::sleep(PROPAGATION).await;
            load.extend(start_loads(&gateways[6..], prefix, INTERVAL));
            compio::time::sleep(RUN_TIME / 2).await;
        }
    }
    assert_limit_held(&site, LIMITED, limit, named + STABLE_WINDOW);
    // The third upstream of each shard has no limit and serves the rest.
    if trouble != Trouble::Restarts {
        let share = served_share(&outcomes_since(&load, named + STABLE_WINDOW));
        assert!(share > 0.99, "{share}");
    }
}

#[rstest]
#[case::reads(1, READ)]
#[case::searches(2, SEARCH)]
#[compio::test]
async fn callers_beyond_the_rates_of_all_upstreams_are_refused_at_once(
    #[case] shards: usize,
    #[case] prefix: &str,
) {
    const LIMIT: f64 = 21.0;
    let (site, gateways) = start(7, shards).await;
    let load = start_loads(&gateways, prefix, INTERVAL);
    compio::time::sleep(Duration::from_secs(1)).await;
    set_limit(&site, REPLICAS, Some(LIMIT));
    let named = Millis::now();
    compio::time::sleep(RUN_TIME).await;
    let from = named + STABLE_WINDOW;
    assert_limit_held(&site, REPLICAS, LIMIT, from);
    let outcomes = outcomes_since(&load, from);
    let share = served_share(&outcomes);
    let possible = LIMIT * REPLICAS as f64 / (REQUESTS_PER_SECOND * gateways.len() as f64);
    assert!(share > 0.9 * possible, "{share} of {possible}");
    for refused in outcomes.iter().filter(|o| !o.is_served()) {
        assert_eq!(refused.status.map(|s| s.as_u16()), Some(503), "{refused:?}");
        assert!(refused.elapsed < REFUSAL_TIME, "{refused:?}");
        assert!(refused.retry_after_s.is_some(), "{refused:?}");
    }
    set_limit(&site, REPLICAS, None);
    compio::time::sleep(END_TIME).await;
    let ended = Millis::now();
    compio::time::sleep(END_TIME).await;
    let share = served_share(&outcomes_since(&load, ended));
    assert!(share > 0.99, "served {share} after the end of the limits");
}
