//! The client of the list of instances, with entries that can't be read.

use std::net::SocketAddr;
use std::rc::Rc;

use rstest::rstest;
use serde_json::{Value, json};
use standins::client::JsonClient;
use store::{HttpInstanceList, InstanceList};
use transport::{Event, Listener, ServerLimits, serve};

/// Longest reason, in bytes.
const LONGEST_REASON: usize = 2_000;

async fn start_list() -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any_port).await.unwrap();
    let address = listener.address;
    let limits = ServerLimits::default();
    let router = standins::instances::router();
    let serving = serve(listener, router, limits, Event::default(), Rc::default());
    compio::runtime::spawn(serving).detach();
    address
}

fn instance(id: &str) -> Value {
    json!({ "id": id, "address": "127.0.0.1:80", "domain": "a", "state": "live" })
}

/// Guards against one entry that keeps daemons from learning of any other daemon.
#[rstest]
#[case::null(Value::Null)]
#[case::number(json!(7))]
#[case::text(json!("entry-1"))]
#[case::empty(json!({}))]
#[case::state(json!({ "id": "a &+#%", "address": "127.0.0.1:80", "domain": "a", "state": "gone" }))]
#[case::address(json!({ "id": "a", "address": "nowhere", "domain": "a", "state": "live" }))]
#[case::long(json!("x".repeat(60_000)))]
#[case::id(json!({ "id": 7, "address": "127.0.0.1:80", "domain": "a", "state": "live" }))]
#[compio::test]
async fn an_entry_that_cannot_be_read_costs_itself_alone(#[case] odd: Value) {
    let address = start_list().await;
    let entries = json!([instance("entry-1"), odd, instance("entry-2")]);
    let client = JsonClient::new(address);
    client.post("/v1/instances", &entries).await.unwrap();
    let listing = HttpInstanceList::new(address).list().await.unwrap();
    let ids: Vec<&str> = listing.instances.iter().map(|i| i.id.as_str()).collect();
    assert_eq!(ids, ["entry-1", "entry-2"]);
    assert_eq!(listing.unreadable.len(), 1);
    assert!(listing.unreadable[0].len() < LONGEST_REASON);
}
