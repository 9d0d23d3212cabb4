//! Keys that are added and taken away while callers hold connections open and requests wait.
//! Real processes run against a stand-in store and upstreams.

use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::{join, join_all};
use http::{Method, Response, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::platform::gateway::{ANSWER_LIMIT_BYTES, Gateway, PROPAGATION, ready};
use standins::platform::keys::{
    KEYED_VERSION, keyed_configuration, keyed_request, request, start_site_with, workspace,
};
use standins::platform::site::{READ, SEARCH, SHARDS, Site, WRITE, put};
use transport::Connection;

const OLD_KEY: &str = "old-key";
const NEW_KEY: &str = "new-key";
/// Key of the callers that occupy the slots.
const BUSY_KEY: &str = "busy-key";
/// Time for which the slots are occupied: longer than a change needs.
const BUSY_TIME: Millis = Millis(3_500);
/// Slots of all upstreams of a shard.
const SLOTS: usize = 4;
/// Requests before the slots are occupied.
const WARM_UP: usize = 10;
/// Time within which a request is queued.
const QUEUE_TIME: Duration = Duration::from_millis(200);

fn workspaces(keys: &[&str]) -> Vec<Value> {
    vec![workspace("one", keys), workspace("busy", &[BUSY_KEY])]
}

/// Returns a configuration whose requests may wait for [`BUSY_TIME`], are sent once, and
/// whose searches need all shards.
fn patient_configuration(site: &Site, version: u64, keys: &[&str]) -> Value {
    let mut configuration = keyed_configuration(site, version, &workspaces(keys));
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["max-attempts"] = json!(1);
        route["timeout-ms"] = json!(8_000);
        route["target-latency-ms"] = json!(8_000);
        route["min-success-share"] = json!(1.0);
    }
    configuration
}

async fn start() -> (Site, Gateway) {
    let site = start_site_with(&[]).await;
    let configuration = patient_configuration(&site, KEYED_VERSION, &[OLD_KEY]);
    put(&site.store, "op/config", &configuration);
    let gateway = ready(&site).await;
    // Upstreams get one request at a time until they have answered some.
    for n in 0..WARM_UP {
        let answer = send(&gateway, SEARCH, &format!("warm-{n}"), BUSY_KEY).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    (site, gateway)
}

async fn put_and_wait(site: &Site, gateway: &Gateway, configuration: &Value) {
    let count = || {
        let log = gateway.process.read_log();
        log.matches("configuration in force").count()
    };
    let before = count();
    put(&site.store, "op/config", configuration);
    wait_until("the configuration is in force", PROPAGATION, async || {
        count() > before
    })
    .await;
}

async fn send(gateway: &Gateway, prefix: &str, id: &str, key: &str) -> Response<Bytes> {
    let path = format!("{prefix}{id}");
    let headers = [("x-api-key", key)];
    let sent = request(Method::POST, &path, id, &headers, Bytes::from("body"));
    gateway.exchange(sent).await
}

/// Guards against keys that are remembered by connection, in either direction.
#[compio::test]
async fn keys_change_while_connections_stay_open() {
    let (site, gateway) = start().await;
    let address = gateway.endpoints.callers();
    let mut old = Connection::open(address).await.unwrap();
    let mut new = Connection::open(address).await.unwrap();
    let path = format!("{READ}1");
    let status = async |connection: &mut Connection, id: &str, key: &str| {
        let sent = connection.send(keyed_request(&path, id, key), ANSWER_LIMIT_BYTES);
        sent.await.expect("the connection stays open").status()
    };
    assert_eq!(status(&mut old, "r1", OLD_KEY).await, StatusCode::OK);
    let refused = status(&mut new, "r2", NEW_KEY).await;
    assert_eq!(refused, StatusCode::UNAUTHORIZED);
    let both = patient_configuration(&site, KEYED_VERSION + 1, &[OLD_KEY, NEW_KEY]);
    put_and_wait(&site, &gateway, &both).await;
    assert_eq!(status(&mut old, "r3", OLD_KEY).await, StatusCode::OK);
    assert_eq!(status(&mut new, "r4", NEW_KEY).await, StatusCode::OK);
    let changed = patient_configuration(&site, KEYED_VERSION + 2, &[NEW_KEY]);
    put_and_wait(&site, &gateway, &changed).await;
    let refused = status(&mut old, "r5", OLD_KEY).await;
    assert_eq!(refused, StatusCode::UNAUTHORIZED);
    assert_eq!(status(&mut new, "r6", NEW_KEY).await, StatusCode::OK);
    assert_eq!(status(&mut old, "r7", NEW_KEY).await, StatusCode::OK);
}

/// Occupies the slots of the shards that a prefix leads to.
async fn occupy(gateway: &Gateway, prefix: &str) {
    let busy = async |n: usize| {
        let answer = send(gateway, prefix, &format!("busy-{n}"), BUSY_KEY).await;
        assert_eq!(answer.status(), StatusCode::OK);
    };
    join_all((0..SLOTS).map(busy)).await;
}

/// Sends a request while the slots are occupied, and changes the configuration while it
/// waits.
async fn send_before(
    site: &Site,
    gateway: &Gateway,
    prefixes: (&str, &str),
    configuration: &Value,
) -> Response<Bytes> {
    let (busy, prefix) = prefixes;
    let waiting = async {
        compio::time::sleep(QUEUE_TIME).await;
        let change = async {
            compio::time::sleep(QUEUE_TIME).await;
            put_and_wait(site, gateway, configuration).await;
        };
        let (answer, ()) = join(send(gateway, prefix, "waits", OLD_KEY), change).await;
        answer
    };
    let ((), answer) = join(occupy(gateway, busy), waiting).await;
    answer
}

/// What happens to the key of a request that waits.
#[derive(Clone, Copy, Debug)]
enum Change {
    Kept,
    TakenAway,
    /// The operators write the same version again.
    TakenAwayInSameVersion,
    WorkspaceTakenAway,
    /// Callers need no keys any more.
    KeysNotRequired,
}

impl Change {
    fn configuration(self, site: &Site) -> Value {
        let version = KEYED_VERSION + 1;
        match self {
            Change::Kept => patient_configuration(site, version, &[OLD_KEY, NEW_KEY]),
            Change::TakenAway => patient_configuration(site, version, &[NEW_KEY]),
            Change::TakenAwayInSameVersion => patient_configuration(site, KEYED_VERSION, &[]),
            Change::WorkspaceTakenAway => {
                let mut changed = patient_configuration(site, version, &[]);
                changed["tenants"] = json!([workspace("busy", &[BUSY_KEY])]);
                changed
            }
            Change::KeysNotRequired => {
                let mut changed = patient_configuration(site, version, &[]);
                changed.as_object_mut().unwrap().remove("tenants");
                changed
            }
        }
    }
}

/// Guards against a request that is sent though its key was taken away while it waited, and
/// against one that is refused though its key is held.
#[rstest]
#[case::read(READ, Change::TakenAway, StatusCode::UNAUTHORIZED)]
#[case::search(SEARCH, Change::TakenAway, StatusCode::UNAUTHORIZED)]
#[case::write(WRITE, Change::TakenAway, StatusCode::UNAUTHORIZED)]
#[case::same_version(READ, Change::TakenAwayInSameVersion, StatusCode::UNAUTHORIZED)]
#[case::workspace(WRITE, Change::WorkspaceTakenAway, StatusCode::UNAUTHORIZED)]
#[case::kept(SEARCH, Change::Kept, StatusCode::OK)]
#[case::not_required(READ, Change::KeysNotRequired, StatusCode::OK)]
#[compio::test]
async fn a_request_that_waits_is_sent_only_while_its_key_is_held(
    #[case] prefix: &str,
    #[case] change: Change,
    #[case] expected: StatusCode,
) {
    let (site, gateway) = start().await;
    for upstream in site.shards.iter().flatten() {
        upstream.service_time.set(BUSY_TIME);
    }
    let configuration = change.configuration(&site);
    let releasing = async {
        compio::time::sleep(QUEUE_TIME).await;
        // Those that occupy the slots keep the longer time.
        for upstream in site.shards.iter().flatten() {
            upstream.service_time.set(Millis(5));
        }
    };
    let sending = send_before(&site, &gateway, (SEARCH, prefix), &configuration);
    let (answer, ()) = join(sending, releasing).await;
    assert_eq!(answer.status(), expected, "{answer:?}");
    assert_eq!(
        site.received("waits").is_empty(),
        expected != StatusCode::OK
    );
    assert!(!answer.headers().contains_key("retry-after"), "{answer:?}");
}

/// Guards against a search that is refused as not run though some shards ran it before its
/// key was taken away.
#[compio::test]
async fn a_search_that_ran_in_part_is_not_refused_as_not_run() {
    let (site, gateway) = start().await;
    for upstream in &site.shards[0] {
        upstream.service_time.set(BUSY_TIME);
    }
    let configuration = Change::TakenAway.configuration(&site);
    let answer = send_before(&site, &gateway, (READ, SEARCH), &configuration).await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY, "{answer:?}");
    assert_eq!(site.received("waits").len(), SHARDS - 1);
}
