//! The stand-in of the platform's store keeps its contract.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Millis;
use http::{Method, Request, StatusCode};
use serde_json::{Value, json};
use standins::platform::site::{Site, Size};
use transport::Payload;

const TTL_MS: u64 = 600;
const PART_OF_TTL: Duration = Duration::from_millis(400);
const TIMEOUT: Millis = Millis(5_000);
const ANSWER_LIMIT_BYTES: usize = 1_024;

async fn start_site() -> Site {
    let size = Size {
        shards: 1,
        replicas: 1,
        service_time: Millis(5),
    };
    Site::start(size).await.expect("loopback ports are free")
}

async fn post(store: SocketAddr, path: &str, body: Value) -> (StatusCode, Value) {
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("host", "store")
        .header("content-type", "application/json")
        .body(Payload::new(body.to_string().into()))
        .unwrap();
    let sent = transport::request(store, request, ANSWER_LIMIT_BYTES, TIMEOUT).await;
    let answer = sent.expect("the store answers");
    let body = serde_json::from_slice(answer.body()).unwrap_or_default();
    (answer.status(), body)
}

async fn grant(store: SocketAddr) -> String {
    let (_, answer) = post(store, "/api/kv-lease", json!({ "ttl-ms": TTL_MS })).await;
    format!("/api/kv-keep/{}", answer["lease"])
}

#[compio::test]
async fn a_renewal_extends_a_lease() {
    let site = start_site().await;
    let keep = grant(site.store_address).await;
    for _ in 0..3 {
        compio::time::sleep(PART_OF_TTL).await;
        let (status, _) = post(site.store_address, &keep, json!({})).await;
        assert_eq!(status, StatusCode::OK);
    }
    compio::time::sleep(Duration::from_millis(TTL_MS) + PART_OF_TTL).await;
    let (status, _) = post(site.store_address, &keep, json!({})).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[compio::test]
async fn a_renewal_returns_the_term_of_the_lease() {
    let site = start_site().await;
    let keep = grant(site.store_address).await;
    let (_, renewed) = post(site.store_address, &keep, json!({})).await;
    assert_eq!(renewed["ttl-ms"], TTL_MS);
}
