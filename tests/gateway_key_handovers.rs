//! Keys of requests that gateways hand over to each other. Real processes run against a
//! stand-in store, upstreams and peers.

use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::{join, join_all};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{
    ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, TIMEOUT, ready, start_gateway_at,
};
use standins::platform::keys::{
    KEYED_VERSION, PUBLIC, keyed_configuration, keyed_request, request, start_site_with, workspace,
};
use standins::platform::link::{LinkState, Links};
use standins::platform::peer::{start_peer, start_peer_answering};
use standins::platform::site::{READ, SEARCH, SHARDS, Site, WRITE, put};
use transport::Payload;

const KEY: &str = "key-of-one";
/// Header with the digest of a key, and that of [`KEY`]: SHA-256 in base64.
const DIGEST_HEADER: &str = "coltsfootgw-key-digest";
const DIGEST: &str = "tSW+E0eHpCfMCbPAB8RTsBLWUjSnMU5Th8iovwcGuMk=";
/// Time within which lost links are noticed.
const LOSS_TIME: Duration = Duration::from_secs(3);
/// Slots of all upstreams of a shard.
const SLOTS: usize = 4;

fn workspaces() -> Vec<Value> {
    vec![workspace("one", &[KEY]), workspace("two", &["key-of-two"])]
}

fn assert_told(headers: &HeaderMap, workspace: Option<&str>) {
    let told: Vec<_> = headers.get_all("tenant").iter().collect();
    assert_eq!(told, Vec::from_iter(workspace), "{headers:?}");
    for name in ["x-api-key", DIGEST_HEADER, "connection"] {
        assert!(!headers.contains_key(name), "{headers:?}");
    }
}

async fn wait_until_ready(gateway: &Gateway) {
    wait_until("the gateway is ready", PROPAGATION, async || {
        gateway.is_ready().await
    })
    .await;
}

/// Guards against a handover that loses the workspace, or lets callers name one.
#[rstest]
#[case::read(READ, 1, Some("one"))]
#[case::search(SEARCH, SHARDS, Some("one"))]
#[case::write(WRITE, 1, Some("one"))]
#[case::public(PUBLIC, 1, None)]
#[compio::test]
async fn a_handed_over_request_keeps_its_workspace(
    #[case] prefix: &str,
    #[case] sends: usize,
    #[case] workspace: Option<&str>,
) {
    let site = start_site_with(&workspaces()).await;
    let links = Links::start(&site).await;
    let near = ready(&site).await;
    let parted = start_gateway_at(links.store_address, &[near.endpoints]).await;
    wait_until_ready(&parted).await;
    links.set(LinkState::Closed).await;
    let served = async |id: &str, headers: &[(&str, &str)]| {
        let path = format!("{prefix}1");
        let sent = request(Method::POST, &path, id, headers, Bytes::from("body"));
        parted.exchange(sent).await
    };
    let mut headers = vec![
        ("x-api-key", KEY),
        ("tenant", "two"),
        ("connection", "tenant"),
    ];
    // Without a digest that replaces it, it is passed on like other headers.
    headers.extend(workspace.map(|_| (DIGEST_HEADER, "forged")));
    // A write that may have run is not handed over, so that a read has to show the loss.
    let probe = async || {
        let sent = keyed_request(&format!("{READ}1"), "probe", KEY);
        parted.exchange(sent).await.status() == StatusCode::OK
    };
    wait_until("requests are handed over", LOSS_TIME, probe).await;
    let answer = served("r", &headers).await;
    assert_eq!(answer.status(), StatusCode::OK, "{answer:?}");
    let received = site.received("r");
    assert!(received.len() >= sends, "{received:?}");
    received.iter().for_each(|h| assert_told(h, workspace));
    if workspace.is_some() {
        let answer = served("refused", &[("tenant", "one")]).await;
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED);
        assert!(site.received("refused").is_empty());
    }
    for gateway in [&near, &parted] {
        assert!(!gateway.process.read_log().contains("key-of"));
    }
}

/// Sends a request as another gateway hands it over.
async fn hand_over(gateway: &Gateway, id: &str, headers: &[(&str, &str)]) -> Response<Bytes> {
    let path = format!("/v1/requests{READ}1");
    let handover = [
        ("coltsfootgw-time-left-ms", "1000"),
        ("coltsfootgw-version", "1"),
    ];
    let headers = [headers, &handover].concat();
    let message: Request<Payload> = request(Method::GET, &path, id, &headers, Bytes::new());
    let peers = gateway.endpoints.peers();
    let sent = transport::request(peers, message, ANSWER_LIMIT_BYTES, TIMEOUT);
    sent.await.expect("the gateway answers")
}

/// Guards against a name that a caller sent, which gateways of older builds, and those whose
/// configuration has no workspaces yet, pass on as they got it.
#[rstest]
#[case::name(&[("tenant", "one")], None)]
#[case::name_and_unknown_key(&[("tenant", "one"), ("x-api-key", "unknown")], None)]
#[case::name_and_two_keys(&[("tenant", "one"), ("x-api-key", KEY), ("x-api-key", KEY)], None)]
#[case::unknown_digest(&[("tenant", "one"), (DIGEST_HEADER, "unknown")], None)]
#[case::key(&[("tenant", "two"), ("x-api-key", KEY)], Some("one"))]
#[case::digest(&[("tenant", "two"), (DIGEST_HEADER, DIGEST), ("connection", DIGEST_HEADER)], Some("one"))]
#[compio::test]
async fn a_gateway_does_not_trust_a_name_that_is_handed_over(
    #[case] headers: &[(&str, &str)],
    #[case] workspace: Option<&str>,
) {
    let site = start_site_with(&workspaces()).await;
    let gateway = ready(&site).await;
    let answer = hand_over(&gateway, "r", headers).await;
    let expected = match workspace {
        Some(_) => StatusCode::OK,
        None => StatusCode::UNAUTHORIZED,
    };
    assert_eq!(answer.status(), expected, "{answer:?}");
    let received = site.received("r");
    assert_eq!(received.len(), usize::from(workspace.is_some()));
    received.iter().for_each(|h| assert_told(h, workspace));
}

/// Guards against a key that is served because the gateway that handed the request over does
/// not know yet that it was taken away.
#[compio::test]
async fn a_key_that_the_serving_gateway_does_not_hold_is_refused() {
    let site = start_site_with(&workspaces()).await;
    let gateway = ready(&site).await;
    let changed = [workspace("one", &["another-key"])];
    let changed = keyed_configuration(&site, KEYED_VERSION + 1, &changed);
    put(&site.store, "op/config", &changed);
    gateway.process.wait_for_line("\"version\":3").await;
    let headers = [("tenant", "one"), (DIGEST_HEADER, DIGEST)];
    let answer = hand_over(&gateway, "r", &headers).await;
    assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{answer:?}");
    assert!(site.received("r").is_empty());
}

/// Returns a configuration whose requests may wait for the loss of links.
fn patient_configuration(site: &Site, version: u64, workspaces: &[Value]) -> Value {
    let mut configuration = keyed_configuration(site, version, workspaces);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = json!(8_000);
        route["target-latency-ms"] = json!(8_000);
    }
    configuration
}

/// Sends requests without which lost links would not be noticed.
async fn notice_loss(gateway: &Gateway) {
    let send = async |n: usize| {
        let (path, id) = (format!("{READ}{n}"), format!("notices-{n}"));
        let sent = keyed_request(&path, &id, "key-of-two");
        gateway.exchange(sent).await
    };
    join_all((0..SLOTS).map(send)).await;
}

/// Guards against a request whose key was taken away while it waited or ran, and that is
/// handed over after that to a gateway that does not know it yet.
#[rstest]
#[case::waits(SLOTS, StatusCode::UNAUTHORIZED)]
#[case::runs(0, StatusCode::BAD_GATEWAY)]
#[compio::test]
async fn a_request_is_not_handed_over_after_its_key_was_taken_away(
    #[case] busy: usize,
    #[case] expected: StatusCode,
) {
    let site = start_site_with(&[]).await;
    let configuration = patient_configuration(&site, KEYED_VERSION, &workspaces());
    put(&site.store, "op/config", &configuration);
    let links = Links::start(&site).await;
    let peer = start_peer(&site, KEYED_VERSION).await;
    let gateway = start_gateway_at(links.store_address, &[]).await;
    wait_until_ready(&gateway).await;
    for upstream in &site.shards[0] {
        upstream.service_time.set(Millis(8_000));
    }
    let path = format!("{READ}1");
    let send = async |id: String, key: &str| gateway.exchange(keyed_request(&path, &id, key)).await;
    let busy = join_all((0..busy).map(|n| send(format!("busy-{n}"), "key-of-two")));
    let waiting = async {
        compio::time::sleep(Duration::from_millis(200)).await;
        send("waits".to_owned(), KEY).await
    };
    let change = async {
        compio::time::sleep(Duration::from_millis(400)).await;
        let changed = [workspace("one", &[]), workspace("two", &["key-of-two"])];
        let changed = patient_configuration(&site, KEYED_VERSION + 1, &changed);
        put(&site.store, "op/config", &changed);
        gateway.process.wait_for_line("\"version\":3").await;
        links.set(LinkState::Hanging).await;
        // Of a newer version, so that the peer does not take them.
        notice_loss(&gateway).await;
    };
    let ((others, answer), ()) = join(join(busy, waiting), change).await;
    assert_eq!(answer.status(), expected, "{answer:?}");
    let is_served = |a: &Response<Bytes>| a.status() == StatusCode::OK;
    assert!(others.iter().all(is_served), "{others:?}");
    assert_eq!(peer.get(), others.len(), "handed over");
}

/// Guards against a request that ran and is refused as not run, since the gateway that it is
/// handed over to does not hold its key any more.
#[compio::test]
async fn a_request_that_ran_is_not_refused_as_not_run_by_another_gateway() {
    let site = start_site_with(&[]).await;
    let configuration = patient_configuration(&site, KEYED_VERSION, &workspaces());
    put(&site.store, "op/config", &configuration);
    let links = Links::start(&site).await;
    let status = StatusCode::UNAUTHORIZED;
    let peer = start_peer_answering(&site, KEYED_VERSION, status).await;
    let gateway = start_gateway_at(links.store_address, &[]).await;
    wait_until_ready(&gateway).await;
    for upstream in &site.shards[0] {
        upstream.service_time.set(Millis(8_000));
    }
    let path = format!("{READ}1");
    let running = async {
        let answer = gateway.exchange(keyed_request(&path, "runs", KEY)).await;
        println!("{answer:?}");
        answer
    };
    let cut = async {
        wait_until("the request runs", PROPAGATION, async || {
            site.runs("runs") > 0
        })
        .await;
        links.set(LinkState::Hanging).await;
        notice_loss(&gateway).await;
    };
    let (answer, ()) = join(running, cut).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{answer:?}");
    assert!(peer.get() > 0);
}
