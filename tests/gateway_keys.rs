//! Callers with keys of workspaces: who is served, and what upstreams are told. Real
//! processes run against a stand-in store and upstreams.

use std::time::{Duration, Instant};

use bytes::Bytes;
use clock::Millis;
use futures_util::future::join_all;
use http::{HeaderMap, Method, Response, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, ready};
use standins::platform::keys::{
    KEYED_VERSION, PUBLIC, keyed_configuration, keyed_request, request, start_site_with, workspace,
};
use standins::platform::site::{READ, SEARCH, SHARDS, Site, WRITE, put};
use standins::platform::upstream::Mode;
use transport::Connection;

const KEY: &str = "key-of-one";
const OTHER_KEY: &str = "key-of-two";
/// A caller without a valid key is told within this time.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Requests that earn the tokens for repeated sends, 0.18 of one each.
const EARNING_REQUESTS: usize = 24;
/// Requests until one of them is sent more than once.
const MOST_REQUESTS: usize = 30;
/// Slots of all upstreams of a shard.
const SLOTS: usize = 4;
/// Bytes of a body that does not arrive together with its head.
const LARGE_BODY: usize = 200_000;

fn workspaces() -> Vec<Value> {
    vec![
        workspace("one", &[KEY, "second-key-of-one"]),
        workspace("two", &[OTHER_KEY]),
    ]
}

async fn start() -> (Site, Gateway) {
    let site = start_site_with(&workspaces()).await;
    let gateway = ready(&site).await;
    (site, gateway)
}

async fn send(gateway: &Gateway, path: &str, id: &str, key: &str) -> Response<Bytes> {
    gateway.exchange(keyed_request(path, id, key)).await
}

/// Checks what an upstream was told of the caller.
fn assert_told(headers: &HeaderMap, workspace: Option<&str>) {
    let told: Vec<&str> = headers
        .get_all("tenant")
        .iter()
        .map(|v| v.to_str().unwrap())
        .collect();
    assert_eq!(told, Vec::from_iter(workspace), "{headers:?}");
    assert!(!headers.contains_key("x-api-key"), "{headers:?}");
    let has_key = |v: &http::HeaderValue| v.to_str().unwrap().contains("key-of");
    assert!(!headers.values().any(has_key), "{headers:?}");
}

/// Guards against callers without a valid key being served, and against a refusal that costs
/// them the connection.
#[rstest]
#[case::unknown(&[("x-api-key", "unknown")])]
#[case::missing(&[])]
#[case::empty(&[("x-api-key", "")])]
#[case::part_of_a_key(&[("x-api-key", "key-of")])]
#[case::twice(&[("x-api-key", KEY), ("x-api-key", KEY)])]
#[case::two_workspaces(&[("x-api-key", KEY), ("x-api-key", OTHER_KEY)])]
#[case::listed(&[("x-api-key", "key-of-one, key-of-two")])]
#[case::only_a_name(&[("tenant", "one")])]
#[case::unknown_with_name(&[("tenant", "one"), ("x-api-key", "unknown")])]
#[compio::test]
async fn a_caller_without_a_valid_key_is_refused_at_once(#[case] headers: &[(&str, &str)]) {
    let (site, gateway) = start().await;
    let address = gateway.endpoints.callers();
    let mut connection = Connection::open(address).await.unwrap();
    let bodies = [0, 10, LARGE_BODY];
    for (at, prefix) in [READ, SEARCH, WRITE].into_iter().enumerate() {
        let id = format!("refused-{at}");
        let body = Bytes::from(vec![b'x'; bodies[at]]);
        let sent = request(Method::POST, &format!("{prefix}1"), &id, headers, body);
        let began = Instant::now();
        let answer = connection.send(sent, ANSWER_LIMIT_BYTES).await.unwrap();
        assert!(began.elapsed() < REFUSAL_TIME, "{:?}", began.elapsed());
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
        assert!(answer.body().starts_with(b"unknown_key"), "{answer:?}");
        assert!(!answer.headers().contains_key("retry-after"));
        let again = keyed_request(&format!("{READ}1"), &format!("after-{at}"), KEY);
        let answer = connection.send(again, ANSWER_LIMIT_BYTES).await.unwrap();
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(site.received(&id).len(), 0, "{id} was sent");
    }
    let log = gateway.process.read_log();
    assert!(!log.contains("key-of"), "{log}");
    let metrics = gateway.metrics("/metrics").await;
    assert!(metrics.contains("reason=\"unknown_key\"} 3"), "{metrics}");
    assert!(!metrics.contains("key-of"), "{metrics}");
    assert!(!gateway.metrics("/state").await.contains("key-of"));
}

/// Guards against a caller that names a workspace, or keeps upstreams from being told.
#[rstest]
#[case::nothing(&[])]
#[case::another(&[("tenant", "two")])]
#[case::capitals(&[("TENANT", "two"), ("X-API-KEY-2", "x")])]
#[case::twice(&[("tenant", "one"), ("tenant", "two")])]
#[case::hop_by_hop(&[("tenant", "two"), ("connection", "Tenant")])]
#[case::hop_by_hop_key(&[("connection", "keep-alive, x-api-key, tenant")])]
#[compio::test]
async fn upstreams_are_told_the_workspace_of_the_key(#[case] headers: &[(&str, &str)]) {
    let (site, gateway) = start().await;
    let headers = [headers, &[("x-api-key", KEY)]].concat();
    for (at, (prefix, sends)) in [(READ, 1), (SEARCH, SHARDS), (WRITE, 1)]
        .into_iter()
        .enumerate()
    {
        let id = format!("r-{at}");
        let sent = request(
            Method::POST,
            &format!("{prefix}1"),
            &id,
            &headers,
            Bytes::new(),
        );
        assert_eq!(gateway.exchange(sent).await.status(), StatusCode::OK);
        let received = site.received(&id);
        assert!(received.len() >= sends, "{received:?}");
        received.iter().for_each(|h| assert_told(h, Some("one")));
    }
    assert!(!gateway.process.read_log().contains("key-of"));
}

/// Guards against repeated sends that are told otherwise than the first one.
#[rstest]
#[case::retries_of_reads(READ, Mode::Failing, Millis(5))]
#[case::retries_of_searches(SEARCH, Mode::Failing, Millis(5))]
#[case::retries_of_writes(WRITE, Mode::NotRun, Millis(5))]
#[case::hedges_of_reads(READ, Mode::Normal, Millis(400))]
#[case::hedges_of_searches(SEARCH, Mode::Normal, Millis(400))]
#[compio::test]
async fn repeated_sends_tell_upstreams_the_workspace(
    #[case] prefix: &str,
    #[case] mode: Mode,
    #[case] service_time: Millis,
) {
    let (site, gateway) = start().await;
    for n in 0..EARNING_REQUESTS {
        let answer = send(&gateway, &format!("{prefix}{n}"), &format!("e-{n}"), KEY).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    let usual = match prefix {
        SEARCH => SHARDS,
        _ => 1,
    };
    let mut repeated = 0;
    for upstream in &site.shards[0] {
        *upstream.mode.borrow_mut() = mode.clone();
        upstream.service_time.set(service_time);
        for n in 0..MOST_REQUESTS {
            let id = format!("{}-{n}", upstream.id);
            send(&gateway, &format!("{prefix}{n}"), &id, KEY).await;
            let received = site.received(&id);
            received.iter().for_each(|h| assert_told(h, Some("one")));
            repeated += received.len().saturating_sub(usual);
            if repeated > 0 {
                break;
            }
        }
        *upstream.mode.borrow_mut() = Mode::Normal;
        upstream.service_time.set(Millis(5));
    }
    assert!(repeated > 0, "nothing was sent more than once");
}

/// Guards against public routes that ask for a key, pass one on or let callers name a
/// workspace.
#[rstest]
#[case::nothing(&[])]
#[case::unknown_key(&[("x-api-key", "unknown-key-of")])]
#[case::known_key(&[("x-api-key", KEY)])]
#[case::name(&[("tenant", "one")])]
#[compio::test]
async fn a_public_route_needs_no_key(#[case] headers: &[(&str, &str)]) {
    let (site, gateway) = start().await;
    let sent = request(
        Method::GET,
        &format!("{PUBLIC}1"),
        "r",
        headers,
        Bytes::new(),
    );
    assert_eq!(gateway.exchange(sent).await.status(), StatusCode::OK);
    let received = site.received("r");
    assert_eq!(received.len(), 1);
    assert_told(&received[0], None);
}

/// Guards against a configuration with a fault that comes into force in part, and against a
/// finding that shows a key.
#[compio::test]
async fn a_configuration_with_a_faulty_workspace_changes_nothing() {
    let (site, gateway) = start().await;
    let version = KEYED_VERSION + 1;
    let faulty = [
        workspace("three", &["new-key-of-three"]),
        workspace("four", &[KEY, KEY]),
    ];
    let faulty = keyed_configuration(&site, version, &faulty);
    put(&site.store, "op/config", &faulty);
    let found = gateway.process.wait_for_line("workspace four").await;
    assert!(found.to_string().contains("api-keys"), "{found}");
    let path = format!("{READ}1");
    let status = async |id: &str, key: &str| send(&gateway, &path, id, key).await.status();
    assert_eq!(status("r1", KEY).await, StatusCode::OK);
    assert_eq!(
        status("r2", "new-key-of-three").await,
        StatusCode::UNAUTHORIZED
    );
    assert!(!gateway.process.read_log().contains("key-of"));
    let mended = [workspace("three", &["new-key-of-three"])];
    let mended = keyed_configuration(&site, version, &mended);
    put(&site.store, "op/config", &mended);
    wait_until("the mended one is in force", PROPAGATION, async || {
        status("r3", "new-key-of-three").await == StatusCode::OK
    })
    .await;
}

/// Guards against a workspace's priority that has no effect: its requests are the first of
/// those that wait.
#[compio::test]
async fn the_priority_of_a_workspace_goes_before_that_of_the_route() {
    const SERVICE_TIME: Millis = Millis(300);
    let mut workspaces = workspaces();
    workspaces[0]["priority"] = json!(0);
    workspaces[1]["priority"] = json!(7);
    workspaces.push(workspace("plain", &["key-of-plain"]));
    let site = start_site_with(&workspaces).await;
    let mut configuration = keyed_configuration(&site, KEYED_VERSION, &workspaces);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["max-attempts"] = json!(1);
        route["timeout-ms"] = json!(5_000);
        route["target-latency-ms"] = json!(5_000);
    }
    put(&site.store, "op/config", &configuration);
    let gateway = ready(&site).await;
    // Upstreams get one request at a time until they have answered some.
    for n in 0..EARNING_REQUESTS {
        send(&gateway, &format!("{READ}{n}"), &format!("e-{n}"), KEY).await;
    }
    for upstream in &site.shards[0] {
        upstream.service_time.set(SERVICE_TIME);
    }
    // Those that occupy the slots, then those that wait, the least urgent first.
    let order: [&'static str; 4] = ["plain", "two", "plain", "one"];
    let callers = order.iter().flat_map(|name| [*name; SLOTS]).enumerate();
    let call = async |(at, name): (usize, &'static str)| {
        compio::time::sleep(Duration::from_millis(5 * at as u64)).await;
        let id = format!("{name}-{at}");
        let answer = send(
            &gateway,
            &format!("{READ}{at}"),
            &id,
            &format!("key-of-{name}"),
        )
        .await;
        assert_eq!(answer.status(), StatusCode::OK);
        (Instant::now(), name)
    };
    let mut answers = join_all(callers.map(call)).await;
    answers.sort();
    let mut names: Vec<&str> = answers.iter().map(|(_, name)| *name).collect();
    // Those that get the slots together end in any order.
    names.chunks_mut(SLOTS).for_each(<[&str]>::sort_unstable);
    let expected = [
        ["plain"; SLOTS],
        ["one"; SLOTS],
        // After seven grants to higher ranks the lowest gets one.
        ["plain", "plain", "plain", "two"],
        ["plain", "two", "two", "two"],
    ];
    assert_eq!(names, expected.concat());
}
