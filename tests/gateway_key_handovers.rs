//! Keys of requests that gateways hand over to each other. Real processes run against a
//! stand-in store, upstreams and peers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use rstest::rstest;
use serde_json::Value;
use standins::fleet::wait_until;
use standins::platform::gateway::{
    ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, TIMEOUT, ready, start_gateway_at,
};
use standins::platform::keys::{
    KEYED_VERSION, PUBLIC, keyed_configuration, keyed_request, request, start_site_with, workspace,
};
use standins::platform::link::{LinkState, Links};
use standins::platform::site::{READ, SEARCH, SHARDS, WRITE, put};
use transport::Payload;

const KEY: &str = "key-of-one";
/// Header with the digest of a key, and that of [`KEY`]: SHA-256 in base64.
const DIGEST_HEADER: &str = "coltsfootgw-key-digest";
const DIGEST: &str = "tSW+E0eHpCfMCbPAB8RTsBLWUjSnMU5Th8iovwcGuMk=";
/// Time within which lost links are noticed.
const LOSS_TIME: Duration = Duration::from_secs(3);

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
