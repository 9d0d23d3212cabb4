//! Gateways with unbounded answers: one that hands requests to them keeps its memory and goes
//! on with the others. A real process runs against a stand-in store, upstreams and peers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, join_all, select};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use standins::memory::memory_kib;
use standins::platform::gateway::{Gateway, PROPAGATION};
use standins::platform::link::Links;
use standins::platform::parted::start_parted;
use standins::platform::peer::start_peer;
use standins::platform::site::{self, READ, SHARDS, start_site};
use standins::platform::unbounded::{self, Unbounded, UnboundedCounts};

/// Gateways with unbounded answers, beside a usual one.
const PEERS: usize = 6;
const CLIENTS: usize = 24;
const ROUNDS: usize = 8;
const VERSION: u64 = 2;
/// Growth of the gateway's memory: half of what a gateway may use (260 MB).
const MEMORY_LIMIT_KIB: usize = 130_000_000 / 1024;
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Sends requests one after the other; returns how many were served.
async fn send_reads(gateway: &Gateway, client: usize) -> usize {
    let mut served = 0;
    for round in 0..ROUNDS {
        let (path, id) = (format!("{READ}{client}"), format!("r-{client}-{round}"));
        let answer = gateway.get(&path, &id).await;
        served += usize::from(answer.status() == StatusCode::OK);
    }
    served
}

/// Returns the largest memory of a gateway until the task is dropped.
async fn watch_memory(gateway: &Gateway, largest: &Cell<usize>) {
    loop {
        let memory = memory_kib(gateway.process.id());
        largest.set(largest.get().max(memory));
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Guards against a gateway that keeps all that another one sends, however much it is, for
/// each of the requests that it hands over.
#[rstest]
#[case::head(Unbounded::Head)]
#[case::body(Unbounded::Body)]
#[case::known_body(Unbounded::KnownBody)]
#[case::chunks(Unbounded::Chunks)]
#[case::trailers(Unbounded::Trailers)]
#[case::stalled_body(Unbounded::StalledBody)]
#[compio::test]
async fn an_unbounded_answer_of_a_gateway_costs_no_memory(#[case] part: Unbounded) {
    let site = start_site().await;
    let mut configuration = site::configuration(SHARDS, VERSION);
    configuration["routes"][1]["target-latency-ms"] = json!(400);
    site::put(&site.store, "op/config", &configuration);
    let counts = Rc::new(UnboundedCounts::default());
    let links = Links::start(&site).await;
    start_peer(&site, VERSION).await;
    let gateway = start_parted(&links).await;
    let before = memory_kib(gateway.process.id());
    for n in 0..PEERS {
        let address = unbounded::start(part, &counts).await.unwrap();
        let entry = json!({ "name": format!("unbounded-{n}"), "address": address, "domain": "a" });
        let key = format!("coltsfootgw/instances/unbounded-{n}");
        site::put(&site.store, &key, &entry);
    }
    compio::time::sleep(PROPAGATION).await;
    let largest = Cell::new(before);
    let reading = join_all((0..CLIENTS).map(|client| send_reads(&gateway, client)));
    let watching = std::pin::pin!(watch_memory(&gateway, &largest));
    let reading = std::pin::pin!(reading);
    let served = match select(reading, watching).await {
        Either::Left((served, _)) => served.iter().sum::<usize>(),
        Either::Right(_) => unreachable!("the memory is watched on"),
    };
    let growth = largest.get().saturating_sub(before);
    println!(
        "{served} of {} served, {} reached an unbounded gateway; at most {} bytes, {growth} KiB more",
        CLIENTS * ROUNDS,
        counts.requests.get(),
        counts.largest.get()
    );
    assert!(counts.requests.get() > 0);
    assert!(growth <= MEMORY_LIMIT_KIB, "{growth} KiB");
    assert!(served > 0);
    let answer = gateway.get(&format!("{READ}1"), "after").await;
    assert_eq!(answer.status(), StatusCode::OK);
}
