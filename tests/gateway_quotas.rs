//! Quotas of workspaces over several gateways: how many requests are admitted, what becomes
//! of the others, and what happens when a gateway ends or the store is away. Real processes
//! run against a stand-in store and upstreams.

use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response, StatusCode};
use rstest::rstest;
use serde_json::Value;
use standins::platform::gateway::{
    ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, TIMEOUT, retry_after_s, start_gateways,
};
use standins::platform::paced_load::{Outcome, PacedLoad};
use standins::platform::peer::start_peer;
use standins::platform::quotas::{Tenant, with_tenants};
use standins::platform::site::{self, HOST, READ, SEARCH, SHARDS, Site, put, start_site};
use standins::platform::upstream::Mode;
use transport::Payload;

const SMALL: Tenant = Tenant {
    name: "small",
    key: "key-of-small",
    rate_per_s: 1.0,
    burst_size: 1.0,
};
const LARGE: Tenant = Tenant {
    name: "large",
    key: "key-of-large",
    rate_per_s: 20.0,
    burst_size: 20.0,
};
const UNLIMITED: Tenant = Tenant {
    name: "unlimited",
    key: "key-of-unlimited",
    rate_per_s: 0.0,
    burst_size: 0.0,
};
/// Window in which the requests of a workspace are counted (`quota-window-s`).
const WINDOW: Millis = Millis(5_000);
const WINDOW_TIME: Duration = Duration::from_secs(5);
/// What a workspace may exceed its quota by in a window.
const OVERAGE: f64 = 1.1;
const SLACK: f64 = 20.0;
/// Interval of the requests of a workspace that sends six times its quota.
const SIXFOLD: Millis = Millis(8);
/// Part of the quota that has to be admitted.
const ADMITTED_SHARE: f64 = 0.95;
/// A caller that is refused is told within this time.
const REFUSAL_TIME: Millis = Millis(150);
/// Time after which the registration of a gateway that was killed has expired, the others
/// have the new list, and a new allocator has its whole rate.
const SUCCESSION: Duration = Duration::from_millis(10_000 + 1_500 + 1_500);

/// Time after which a new allocator of the large workspace has its whole burst.
const BURST_TIME: Duration = Duration::from_millis(3_000);

async fn start(count: usize) -> (Site, Vec<Gateway>) {
    let site = start_site().await;
    let configuration = site::configuration(SHARDS, 2);
    let tenants = [SMALL, LARGE, UNLIMITED];
    put(
        &site.store,
        "op/config",
        &with_tenants(configuration, &tenants),
    );
    let all = start_gateways(&site, count).await;
    (site, all)
}

async fn get(gateway: &Gateway, tenant: Tenant, prefix: &str, id: &str) -> Response<Bytes> {
    let request = Request::get(format!("{prefix}{id}"))
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-milliseconds", "1000")
        .header("x-api-key", tenant.key)
        .body(Payload::default())
        .unwrap();
    gateway.exchange(request).await
}

fn start_load(gateway: &Gateway, tenant: Tenant, name: &str, interval: Millis) -> PacedLoad {
    let address = gateway.endpoints.callers();
    PacedLoad::start_with_key(address, name, READ, interval, Some(tenant.key))
}

fn allowed(tenant: Tenant) -> f64 {
    let exact = tenant.rate_per_s * WINDOW.0 as f64 / 1_000.0 + tenant.burst_size;
    exact * OVERAGE + SLACK
}

/// Fails if more requests were served in some window than the quota allows.
fn assert_rule(outcomes: &[Outcome], tenant: Tenant) {
    let served = outcomes.iter().filter(|o| o.is_served());
    let mut times: Vec<Millis> = served.map(|o| o.sent_at).collect();
    times.sort();
    let count = |(n, at): (usize, &Millis)| times.partition_point(|t| *t < *at + WINDOW) - n;
    let most = times.iter().enumerate().map(count).max().unwrap_or(0);
    println!("{most} in a window, {} allowed", allowed(tenant));
    assert!(most as f64 <= allowed(tenant), "{most}");
}

/// Fails if a request that was not served is no correct refusal.
fn assert_refusals(outcomes: &[Outcome]) {
    for refused in outcomes.iter().filter(|o| !o.is_served()) {
        assert_eq!(
            refused.status,
            Some(StatusCode::TOO_MANY_REQUESTS),
            "{refused:?}"
        );
        assert!(refused.elapsed < REFUSAL_TIME, "{refused:?}");
        assert!(
            refused.retry_after_s.is_some_and(|s| s > 0.0),
            "{refused:?}"
        );
    }
}

fn assert_admitted(outcomes: &[Outcome], tenant: Tenant, time: Duration) {
    let served = outcomes.iter().filter(|o| o.is_served()).count();
    let quota = tenant.rate_per_s * time.as_secs_f64();
    println!(
        "{served} of {} served, the quota is {quota}",
        outcomes.len()
    );
    assert!(served as f64 >= ADMITTED_SHARE * quota, "{served}");
}

async fn dump(gateway: &Gateway) -> Value {
    serde_json::from_str(&gateway.metrics("/state").await).unwrap()
}

/// Returns the place of a workspace's allocator.
async fn find_allocator(gateways: &[Gateway], tenant: Tenant) -> usize {
    get(&gateways[0], tenant, READ, "find").await;
    let state = dump(&gateways[0]).await;
    let quotas = state["quotas"].as_array().unwrap();
    let quota = quotas.iter().find(|q| q["workspace"] == tenant.name);
    let allocator = quota.unwrap()["allocator"].clone();
    for (n, gateway) in gateways.iter().enumerate() {
        if dump(gateway).await["instance"] == allocator {
            return n;
        }
    }
    panic!("{allocator} is none of the gateways");
}

/// A rate of one request a second must not be split into parts that never hold a token.
#[compio::test]
async fn a_small_workspace_is_served_wherever_its_requests_arrive() {
    let (_site, gateways) = start(3).await;
    for n in 0..12 {
        let answer = get(&gateways[n % 3], SMALL, READ, &format!("small-{n}")).await;
        assert_eq!(answer.status(), StatusCode::OK, "request {n}");
        compio::time::sleep(Duration::from_millis(1_050)).await;
    }
}

/// The quota is one over all gateways, and moves with the callers.
#[compio::test]
async fn six_times_the_quota_at_one_gateway_and_then_at_another() {
    let (_site, gateways) = start(3).await;
    let other = start_load(&gateways[2], UNLIMITED, "other", Millis(50));
    let begun = Millis::now();
    let first = start_load(&gateways[0], LARGE, "first", SIXFOLD);
    compio::time::sleep(WINDOW_TIME * 2).await;
    let outcomes = first.outcomes_since(begun + WINDOW);
    assert_admitted(&outcomes, LARGE, WINDOW_TIME);
    let mut all = first.outcomes_since(begun);
    drop(first);
    let moved = Millis::now();
    let second = start_load(&gateways[1], LARGE, "second", SIXFOLD);
    compio::time::sleep(WINDOW_TIME * 2).await;
    let outcomes = second.outcomes_since(moved + WINDOW);
    assert_admitted(&outcomes, LARGE, WINDOW_TIME);
    all.extend(second.outcomes_since(moved));
    assert_rule(&all, LARGE);
    assert_refusals(&all);
    let others = other.outcomes_since(begun);
    assert!(others.iter().all(Outcome::is_served));
}

#[rstest]
#[case::ended(false)]
#[case::frozen(true)]
#[compio::test]
async fn the_allocator_ends_and_another_one_takes_over(#[case] is_frozen: bool) {
    let (_site, mut gateways) = start(3).await;
    let allocator = find_allocator(&gateways, LARGE).await;
    let others: Vec<usize> = (0..3).filter(|n| *n != allocator).collect();
    let begun = Millis::now();
    let interval = Millis(SIXFOLD.0 * 2);
    let loads = others.iter().map(|n| {
        let name = format!("load-{n}");
        start_load(&gateways[*n], LARGE, &name, interval)
    });
    let loads: Vec<PacedLoad> = loads.collect();
    let since = |from: Millis| -> Vec<Outcome> {
        loads.iter().flat_map(|l| l.outcomes_since(from)).collect()
    };
    compio::time::sleep(WINDOW_TIME).await;
    let ended = Millis::now();
    match is_frozen {
        true => gateways[allocator].process.freeze(),
        false => gateways[allocator].process.kill(),
    }
    compio::time::sleep(WINDOW_TIME).await;
    // The others use their shares meanwhile.
    let meanwhile = since(ended);
    let served = meanwhile.iter().filter(|o| o.is_served()).count() as f64;
    let quota = LARGE.rate_per_s * WINDOW_TIME.as_secs_f64();
    println!("{served} served by shares, the quota is {quota}");
    assert!(served >= 0.5 * quota, "{served}");
    compio::time::sleep(SUCCESSION.saturating_sub(WINDOW_TIME)).await;
    let succeeded = Millis::now();
    compio::time::sleep(WINDOW_TIME).await;
    assert_admitted(&since(succeeded), LARGE, WINDOW_TIME);
    if is_frozen {
        gateways[allocator].process.resume();
        let _own = start_load(&gateways[allocator], LARGE, "own", SIXFOLD);
        compio::time::sleep(WINDOW_TIME).await;
        assert_rule(&since(begun), LARGE);
    }
    assert_rule(&since(begun), LARGE);
    assert_refusals(&since(begun));
}

/// Lists stay as they are while the store is away, so allocators continue.
#[compio::test]
async fn the_store_is_away() {
    let (site, gateways) = start(3).await;
    let begun = Millis::now();
    let load = start_load(&gateways[0], LARGE, "load", Millis(60));
    compio::time::sleep(WINDOW_TIME).await;
    site.store.is_down.set(true);
    compio::time::sleep(WINDOW_TIME * 3).await;
    site.store.is_down.set(false);
    compio::time::sleep(WINDOW_TIME).await;
    let outcomes = load.outcomes_since(begun);
    let served = outcomes.iter().filter(|o| o.is_served()).count();
    println!("{served} of {} served", outcomes.len());
    assert!(served as f64 >= ADMITTED_SHARE * outcomes.len() as f64);
}

/// Requests that no upstream has run take nothing from the quota.
#[compio::test]
async fn a_request_that_did_not_run_returns_its_token() {
    let (site, gateways) = start(1).await;
    site.set_mode(0, &Mode::NotRun);
    for n in 0..60 {
        let answer = get(&gateways[0], LARGE, READ, &format!("unrun-{n}")).await;
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    site.set_mode(0, &Mode::Normal);
    compio::time::sleep(BURST_TIME).await;
    for n in 0..20 {
        let answer = get(&gateways[0], LARGE, READ, &format!("run-{n}")).await;
        assert_eq!(answer.status(), StatusCode::OK, "request {n}");
    }
}

/// An older build hands a request over with the key and without having admitted it; a newer
/// one with the name of the workspace, once it has admitted it.
#[rstest]
#[case::older_build("x-api-key", SMALL.key, true)]
#[case::this_build("tenant", SMALL.name, false)]
#[compio::test]
async fn a_request_that_is_handed_over_is_admitted_once(
    #[case] header: &str,
    #[case] value: &str,
    #[case] is_limited: bool,
) {
    let (_site, gateways) = start(1).await;
    let mut refused = 0;
    for n in 0..40 {
        let request = Request::get(format!("/v1/requests{READ}handed-{n}"))
            .header("host", HOST)
            .header("request-id", format!("handed-{n}"))
            .header("coltsfootgw-time-left-ms", "1000")
            .header("coltsfootgw-version", "2")
            .header(header, value)
            .body(Payload::default())
            .unwrap();
        let address = gateways[0].endpoints.peers();
        let answer = transport::request(address, request, ANSWER_LIMIT_BYTES, TIMEOUT).await;
        refused += usize::from(answer.unwrap().status() == StatusCode::TOO_MANY_REQUESTS);
    }
    assert_eq!(refused > 0, is_limited, "{refused} refused");
}

/// A search counts once, not once for each shard.
#[compio::test]
async fn a_search_over_several_shards_counts_once() {
    let (_site, gateways) = start(2).await;
    compio::time::sleep(BURST_TIME).await;
    for n in 0..20 {
        let answer = get(&gateways[0], LARGE, SEARCH, &format!("search-{n}")).await;
        assert_eq!(answer.status(), StatusCode::OK, "search {n}");
    }
}

/// Without a quota there are no messages between gateways.
#[compio::test]
async fn a_workspace_without_a_quota_costs_nothing() {
    let (_site, gateways) = start(2).await;
    for n in 0..200 {
        let answer = get(&gateways[0], UNLIMITED, READ, &format!("free-{n}")).await;
        assert_eq!(answer.status(), StatusCode::OK, "request {n}");
    }
    let metrics = gateways[0].metrics("/metrics").await;
    assert!(!metrics.contains("coltsfootgw_quota_grants_total"));
    assert!(!metrics.contains("coltsfootgw_quota_admissions_total"));
}

/// A gateway of a build without quotas answers 404; another one is the allocator then.
#[compio::test]
async fn a_gateway_without_quotas_is_passed_over() {
    let (site, gateways) = start(2).await;
    // Some of them would be the allocators of the workspaces.
    for version in 100..112 {
        start_peer(&site, version).await;
    }
    compio::time::sleep(PROPAGATION).await;
    for n in 0..4 {
        let answer = get(&gateways[n % 2], LARGE, READ, &format!("early-{n}")).await;
        println!("{}", answer.status());
        compio::time::sleep(Duration::from_millis(300)).await;
    }
    compio::time::sleep(Duration::from_secs(2)).await;
    let mut served = 0;
    for n in 0..20 {
        let answer = get(&gateways[n % 2], LARGE, READ, &format!("late-{n}")).await;
        served += usize::from(answer.status() == StatusCode::OK);
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(served >= 19, "{served} of 20 served");
}

/// The limit of the new configuration applies one window after it is known everywhere.
#[compio::test]
async fn a_lowered_limit_applies() {
    let (site, gateways) = start(3).await;
    let load = start_load(&gateways[0], LARGE, "load", SIXFOLD);
    compio::time::sleep(WINDOW_TIME).await;
    let lowered = Tenant {
        rate_per_s: 8.0,
        burst_size: 8.0,
        ..LARGE
    };
    let configuration = site::configuration(SHARDS, 3);
    put(
        &site.store,
        "op/config",
        &with_tenants(configuration, &[lowered]),
    );
    compio::time::sleep(PROPAGATION + WINDOW_TIME).await;
    let from = Millis::now();
    compio::time::sleep(WINDOW_TIME).await;
    let outcomes = load.outcomes_since(from);
    assert_rule(&outcomes, lowered);
    assert_admitted(&outcomes, lowered, WINDOW_TIME);
    assert_refusals(&outcomes);
}

/// A caller that waits for the time that it was told gets a token.
#[compio::test]
async fn retry_after_leads_to_a_token() {
    let (_site, gateways) = start(2).await;
    let mut last = None;
    for n in 0..40 {
        let answer = get(&gateways[0], SMALL, READ, &format!("burst-{n}")).await;
        last = Some(answer);
    }
    let last = last.unwrap();
    assert_eq!(last.status(), StatusCode::TOO_MANY_REQUESTS);
    let wait = retry_after_s(&last).unwrap();
    assert!(wait <= 2.5, "{wait}");
    compio::time::sleep(Duration::from_secs_f64(wait)).await;
    let answer = get(&gateways[0], SMALL, READ, "again").await;
    assert_eq!(answer.status(), StatusCode::OK);
}
