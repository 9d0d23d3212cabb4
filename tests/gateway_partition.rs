//! Gateways that are partitioned from all upstreams while callers, the store and the
//! other gateways reach them. Real processes run against a stand-in store and upstreams.

use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::join_all;
use http::{Method, Request, Response, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{Gateway, PROPAGATION, retry_after_s, start_gateway_in};
use standins::platform::link::{LinkState, Links};
use standins::platform::paced_load::{outcomes_since, served_share, start_loads};
use standins::platform::site::{
    HOST, READ, SEARCH, SHARDS, Site, WRITE, configuration, put, start_site,
};
use standins::platform::upstream::Mode;
use transport::Payload;

/// Failure domains of the gateways; those of the first are cut off together.
const DOMAINS: [&str; 4] = ["a", "a", "b", "b"];
const INTERVAL: Millis = Millis(25);
/// Time after which the callers of all gateways are to be served alike
/// (`stable-window-ms`).
const STABLE_WINDOW: Duration = Duration::from_secs(4);
const RUN_TIME: Duration = Duration::from_secs(4);
/// Callers of a partitioned gateway are served at least this often, as a share of the
/// others.
const SERVED_SHARE: f64 = 2.0 / 3.0;
/// Time after the end of a partition in which a gateway uses its own links again.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// A caller that can't be served is told within this time.
const REFUSAL_TIME: Millis = Millis(150);
const WRITES: usize = 40;
/// Rounds of requests that earn the tokens for hedges.
const WARM_UP: usize = 30;
/// Slots of all upstreams of a shard.
const SLOTS: usize = 4;
/// Requests that are sent while no answers pass.
const UNANSWERED: usize = 2;
/// Attempts for each shard that the routes allow.
const ATTEMPTS: usize = 2;
/// Two for a request and its hedge, one that is kept for a gateway that does not answer,
/// and one for the gateway that the request is handed to.
const HANDOVER_ATTEMPTS: usize = 4;
const HANDOVER_DEADLINE: Millis = Millis(4_000);
/// A gateway has twice this time to answer a request that is handed over.
const HANDOVER_OBJECTIVE: Millis = Millis(500);

/// Starts gateways, the first `behind` of which reach the upstreams by links that can be
/// cut.
async fn start(site: &Site, links: &Links, behind: usize) -> Vec<Gateway> {
    let mut all: Vec<Gateway> = Vec::new();
    for (n, domain) in DOMAINS.into_iter().enumerate() {
        let store = match n < behind {
            true => links.store_address,
            false => site.store_address,
        };
        let seeds: Vec<_> = all.iter().take(3).map(|g| g.endpoints).collect();
        all.push(start_gateway_in(domain, store, &seeds).await);
    }
    for gateway in &all {
        wait_until("the gateway is ready", PROPAGATION, async || {
            gateway.is_ready().await
        })
        .await;
    }
    compio::time::sleep(PROPAGATION).await;
    all
}

fn count_lines(gateways: &[Gateway], text: &str) -> usize {
    let logs = gateways.iter().map(|g| g.process.read_log());
    logs.map(|log| log.lines().filter(|l| l.contains(text)).count())
        .sum()
}

#[rstest]
#[case::reads_over_hanging_links(READ, LinkState::Hanging, 1)]
#[case::searches_over_hanging_links(SEARCH, LinkState::Hanging, 2)]
#[case::searches_over_closed_links(SEARCH, LinkState::Closed, 2)]
#[case::searches_without_new_connections(SEARCH, LinkState::NewRefused, 2)]
#[case::most_gateways(SEARCH, LinkState::Hanging, 3)]
#[compio::test]
async fn callers_of_partitioned_gateways_are_served_like_the_others(
    #[case] prefix: &str,
    #[case] state: LinkState,
    #[case] behind: usize,
) {
    let site = start_site().await;
    let links = Links::start(&site).await;
    let gateways = start(&site, &links, behind).await;
    let load = start_loads(&gateways, prefix, INTERVAL);
    compio::time::sleep(Duration::from_secs(1)).await;
    links.set(state).await;
    compio::time::sleep(STABLE_WINDOW).await;
    let from = Millis::now();
    compio::time::sleep(RUN_TIME).await;
    let (there, elsewhere) = load.split_at(behind);
    let there = served_share(&outcomes_since(there, from));
    let elsewhere = served_share(&outcomes_since(elsewhere, from));
    assert!(there >= elsewhere * SERVED_SHARE, "{there} of {elsewhere}");
    assert_eq!(count_lines(&gateways, "crashed during request"), 0);
    links.set(LinkState::Up).await;
    compio::time::sleep(RETURN_TIME).await;
    let from = Millis::now();
    compio::time::sleep(RETURN_TIME).await;
    let after = served_share(&outcomes_since(&load[..behind], from));
    assert!(after > 0.99, "{after} served after the partition");
    for gateway in &gateways[..behind] {
        let metrics = gateway.metrics("/metrics").await;
        assert!(metrics.contains("coltsfootgw_links_lost 0"), "{metrics}");
    }
}

#[rstest]
#[case::hanging(LinkState::Hanging)]
#[case::closed(LinkState::Closed)]
#[compio::test]
async fn a_booking_runs_at_most_once_when_its_gateway_is_partitioned(#[case] state: LinkState) {
    let site = start_site().await;
    let links = Links::start(&site).await;
    let gateways = start(&site, &links, 2).await;
    let write = async |n: usize| {
        compio::time::sleep(Duration::from_millis(50 * n as u64)).await;
        let (path, id) = (format!("{WRITE}{n}"), format!("w-{n}"));
        let gateway = &gateways[n % 2];
        let answer = gateway.send(Method::POST, &path, &id, Bytes::new()).await;
        (id, answer.status())
    };
    let cut = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        links.set(state).await;
    };
    let writes = join_all((0..WRITES).map(write));
    let (answers, ()) = futures_util::future::join(writes, cut).await;
    links.set(LinkState::Up).await;
    compio::time::sleep(RETURN_TIME).await;
    let served = answers.iter().filter(|(_, s)| *s == StatusCode::OK).count();
    println!("{served} of {WRITES} served");
    for (id, status) in &answers {
        let runs = site.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times, {status}");
        assert!(*status != StatusCode::OK || runs == 1, "{id} did not run");
        assert!(
            *status != StatusCode::SERVICE_UNAVAILABLE || runs == 0,
            "{id} was refused and ran"
        );
    }
    // From the moment at which the gateways know, all are served.
    let late = &answers[WRITES * 3 / 4..];
    assert!(late.iter().all(|(_, s)| *s == StatusCode::OK), "{late:?}");
}

#[compio::test]
async fn callers_are_refused_at_once_when_no_gateway_has_links() {
    let site = start_site().await;
    let links = Links::start(&site).await;
    let gateways = start(&site, &links, DOMAINS.len()).await;
    let load = start_loads(&gateways, SEARCH, INTERVAL);
    compio::time::sleep(Duration::from_secs(1)).await;
    links.set(LinkState::Hanging).await;
    compio::time::sleep(RETURN_TIME).await;
    let from = Millis::now();
    compio::time::sleep(RETURN_TIME).await;
    for outcome in outcomes_since(&load, from) {
        assert_eq!(outcome.status, Some(StatusCode::SERVICE_UNAVAILABLE));
        assert!(outcome.elapsed < REFUSAL_TIME, "{outcome:?}");
        assert!(outcome.retry_after_s.is_some(), "{outcome:?}");
    }
    assert!(!gateways[0].is_ready().await, "ready without any links");
    links.set(LinkState::Up).await;
    compio::time::sleep(RETURN_TIME).await;
    let answer = gateways[0].get(&format!("{SEARCH}again"), "again").await;
    assert_eq!(
        answer.status(),
        StatusCode::OK,
        "{:?}",
        retry_after_s(&answer)
    );
    assert!(gateways[0].is_ready().await);
}

/// Opens connections for all slots; several rounds also earn tokens for hedges.
async fn warm_up(gateway: &Gateway, prefix: &str, rounds: usize) {
    for round in 0..rounds {
        let warm = async |n: usize| {
            let id = format!("warm-{round}-{n}");
            gateway.get(&format!("{prefix}{id}"), &id).await
        };
        join_all((0..SLOTS).map(warm)).await;
    }
}

/// What a gateway sent may run although no answer reaches it, so that it counts as an
/// attempt when another gateway serves the request.
#[rstest]
#[case::reads(READ, 1)]
#[case::searches(SEARCH, SHARDS)]
#[compio::test]
async fn attempts_before_a_handover_count(#[case] prefix: &str, #[case] shards: usize) {
    let site = start_site().await;
    let links = Links::start(&site).await;
    let gateways = start(&site, &links, 1).await;
    warm_up(&gateways[0], prefix, WARM_UP).await;
    let send = async |n: usize| {
        let id = format!("unanswered-{n}");
        gateways[0].get(&format!("{prefix}{n}"), &id).await;
        id
    };
    let cut = async {
        links.set(LinkState::AnswersHanging).await;
        compio::time::sleep(RETURN_TIME).await;
        links.set(LinkState::Up).await;
    };
    let sent = join_all((0..UNANSWERED).map(send));
    let (ids, ()) = futures_util::future::join(sent, cut).await;
    compio::time::sleep(RETURN_TIME).await;
    let runs: Vec<usize> = ids.iter().map(|id| site.runs(id)).collect();
    println!("{runs:?}");
    assert!(runs.iter().any(|r| *r > shards), "none ran twice: {runs:?}");
    assert!(runs.iter().all(|r| *r <= shards * ATTEMPTS), "{runs:?}");
}

/// A configuration that leaves other gateways an attempt after a request and its hedges,
/// and time to answer on a busy machine. A search fails only when all shards have refused
/// it, so that a gateway knows that none ran it.
fn handover_configuration() -> Value {
    let mut config = configuration(SHARDS, 2);
    for route in config["routes"].as_array_mut().unwrap() {
        route["max-attempts"] = json!(HANDOVER_ATTEMPTS);
        route["timeout-ms"] = json!(HANDOVER_DEADLINE.0);
        route["target-latency-ms"] = json!(HANDOVER_OBJECTIVE.0);
        if route["gather"].is_array() {
            route["min-success-share"] = json!(1.0 / SHARDS as f64);
        }
    }
    config
}

/// Another gateway that refuses a request as not run knows nothing of what ran before.
#[rstest]
#[case::reads(READ)]
#[case::searches(SEARCH)]
#[compio::test]
async fn a_request_that_may_have_run_is_not_refused_as_not_run(#[case] prefix: &str) {
    let site = start_site().await;
    put(&site.store, "op/config", &handover_configuration());
    let links = Links::start(&site).await;
    let gateways = start(&site, &links, 1).await;
    warm_up(&gateways[0], prefix, 1).await;
    links.set(LinkState::AnswersHanging).await;
    let send = async |n: usize| {
        let id = format!("ran-{n}");
        let request = Request::get(format!("{prefix}{n}"))
            .header("host", HOST)
            .header("request-id", &id)
            .header("deadline-milliseconds", HANDOVER_DEADLINE.0)
            .body(Payload::default())
            .unwrap();
        let answer = gateways[0].exchange(request).await;
        (id, answer)
    };
    let has_run = |id: &str| site.runs(id) > 0;
    let refusing = async {
        // A request that finds no open connection does not run before it is handed over.
        wait_until("a request runs", PROPAGATION, async || {
            (0..UNANSWERED).any(|n| has_run(&format!("ran-{n}")))
        })
        .await;
        (0..SHARDS).for_each(|shard| site.set_mode(shard, &Mode::NotRun));
    };
    let sent = join_all((0..UNANSWERED).map(send));
    let (answers, ()) = futures_util::future::join(sent, refusing).await;
    for (id, answer) in &answers {
        println!("{id}: {} {:?}", answer.status(), answer.body());
        let is_not_run = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
        assert!(!is_not_run || !has_run(id), "{id} ran");
    }
    // Only such an answer shows that another gateway refused the request as not run.
    let is_refused = |answer: &Response<Bytes>| {
        let body = String::from_utf8_lossy(answer.body());
        body.starts_with("no_links") && body.contains("refused the request")
    };
    assert!(answers.iter().any(|(_, answer)| is_refused(answer)));
}
