//! A configuration without workspaces: upstreams get what they got before keys existed. Real
//! processes run against a stand-in store and an upstream that reads bytes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use compio::BufResult;
use compio::io::AsyncWriteExt;
use compio::net::TcpListener;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::Value;
use standins::platform::gateway::{ready, start_gateways};
use standins::platform::keys::request;
use standins::platform::site::{
    READ, SEARCH, SHARDS, WRITE, put, shard_name, start_site, upstream_entry,
};
use standins::raw_request::RawRequest;
use transport::listen;

const ANSWER: &str = "HTTP/1.1 200 OK\r\nrequest-id: r\r\nserver-stamp: s\r\n\
    content-length: 0\r\n\r\n";

/// Headers of a request as they were before keys existed.
const HEADERS: [&str; 10] = [
    "host: site.example",
    "request-id: r",
    "x-api-key: key-1",
    "x-api-key: key-2",
    "tenant: one",
    "tenant: two",
    "x-other: 1",
    "coltsfootgw-key-digest: d",
    "deadline-milliseconds: LEFT",
    "expect-instance: raw-0",
];

/// Operations of the store that gateways used before there were quotas.
const STORE_CALLS: [&str; 5] = ["kv-txn", "kv-watch", "kv-range", "kv-lease", "kv-keep"];
const REQUESTS: usize = 12;

/// Answers the requests of all connections and keeps them.
async fn serve(listener: TcpListener, received: Rc<RefCell<Vec<RawRequest>>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let received = received.clone();
        compio::runtime::spawn(async move {
            while let Some(request) = RawRequest::read(&mut stream).await {
                received.borrow_mut().push(request);
                let BufResult(written, _) = stream.write_all(ANSWER).await;
                assert!(written.is_ok());
            }
        })
        .detach();
    }
}

/// Guards against changes for deployments that do not ask for keys: the headers of the
/// feature are a caller's like any others there.
#[rstest]
#[case::read(Method::GET, READ, "", "")]
#[case::write(Method::POST, WRITE, "body", "content-length: 4")]
#[compio::test]
async fn without_workspaces_upstreams_get_the_same_bytes(
    #[case] method: Method,
    #[case] prefix: &str,
    #[case] body: &'static str,
    #[case] last: &str,
) {
    let site = start_site().await;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = listen(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    let received: Rc<RefCell<Vec<RawRequest>>> = Rc::default();
    compio::runtime::spawn(serve(listener, received.clone())).detach();
    site.store.delete_all("servers/");
    for shard in 0..SHARDS {
        let entry = upstream_entry(&shard_name(shard), address, "ready", 1);
        put(&site.store, &format!("servers/raw-{shard}"), &entry);
    }
    let gateway = ready(&site).await;
    let headers = [
        ("X-Api-Key", "key-1"),
        ("X-API-KEY", "key-2"),
        ("Tenant", "one"),
        ("tenant", "two"),
        ("x-other", "1"),
        ("coltsfootgw-key-digest", "d"),
    ];
    let path = format!("{prefix}1?q=2");
    let verb = method.to_string();
    let sent = request(method, &path, "r", &headers, Bytes::from(body));
    assert_eq!(gateway.exchange(sent).await.status(), StatusCode::OK);
    let received = received.borrow();
    let received = &received[0];
    let left = received.header("deadline-milliseconds");
    let head = received.head.replace(left, "LEFT");
    let (line, head) = head.split_once("\r\n").unwrap();
    assert_eq!(line, format!("{verb} {path} HTTP/1.1"));
    let expected = HEADERS
        .into_iter()
        .chain((!last.is_empty()).then_some(last));
    assert_eq!(Vec::from_iter(head.split("\r\n")), Vec::from_iter(expected));
    assert_eq!(received.body, body);
}

/// Guards against messages between gateways and calls to the store that a deployment without
/// quotas, and with equal processors, did not ask for.
#[compio::test]
async fn without_quotas_gateways_exchange_and_store_nothing_new() {
    let site = start_site().await;
    let gateways = start_gateways(&site, 2).await;
    for n in 0..REQUESTS {
        let gateway = &gateways[n % gateways.len()];
        let id = format!("r-{n}");
        let path = match n % 3 {
            0 => format!("{SEARCH}{n}"),
            _ => format!("{READ}{n}"),
        };
        assert_eq!(gateway.get(&path, &id).await.status(), StatusCode::OK);
    }
    for gateway in &gateways {
        let page = gateway.metrics("/metrics").await;
        for name in ["coltsfootgw_quota_", "coltsfootgw_peer_forwards_total"] {
            let counted = page
                .lines()
                .find(|l| l.starts_with(name) && !l.ends_with(" 0"));
            assert_eq!(counted, None);
        }
        let calls = page
            .lines()
            .filter(|l| l.starts_with("coltsfootgw_store_calls_total"));
        for call in calls {
            let is_known = STORE_CALLS.iter().any(|known| call.contains(known));
            assert!(is_known, "{call}");
        }
    }
    let registered = site.store.values("coltsfootgw/instances/");
    assert_eq!(registered.len(), gateways.len());
    for value in registered {
        let value = STANDARD.decode(value).unwrap();
        let value: Value = serde_json::from_slice(&value).unwrap();
        let fields: Vec<&String> = value.as_object().unwrap().keys().collect();
        assert_eq!(fields, ["address", "domain", "name"]);
    }
}
