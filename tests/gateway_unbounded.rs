//! Upstreams with unbounded answers: a gateway reads a limited number of bytes,
//! keeps its memory, and loses no request that it sent to others. Real processes
//! run against a stand-in store and upstreams.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use clock::Millis;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use standins::fleet::wait_until;
use standins::memory::memory_kib;
use standins::platform::gateway::{Gateway, PROPAGATION, ready, start_gateway_at};
use standins::platform::site::{self, READ, SHARDS, Site, start_site, upstream_entry};
use standins::platform::unbounded::{self, Unbounded, UnboundedCounts};
use standins::platform::upstream::{LARGE_BYTES, Mode};

/// Upstreams with unbounded answers, beside two others of the same shard.
const UPSTREAMS: usize = 8;
const CLIENTS: usize = 24;
/// Clients that get large answers.
const LARGE_CLIENTS: usize = 6;
const RUN_TIME: Millis = Millis(4_000);
/// Requests that earn the tokens for repeats.
const WARM_UP: usize = 60;
/// Bytes of one answer, with what the sockets hold.
const BYTES_LIMIT: usize = 24 * 1024 * 1024;
/// Bytes of one answer of the store, with what the sockets hold.
const STORE_BYTES_LIMIT: usize = 32 * 1024 * 1024;
/// Pause of a client between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const RESPONSE_TIME: Millis = Millis(1_000);
/// Growth of the gateway's memory.
const MEMORY_LIMIT_KIB: usize = 64 * 1024;
/// Connections on which an unbounded answer arrives are closed this long after
/// the deadline of a request.
const CLOSE_TIME: Duration = Duration::from_secs(3);

async fn add_upstreams(site: &Site, part: Unbounded, counts: &Rc<UnboundedCounts>) {
    for n in 0..UPSTREAMS {
        let address = unbounded::start(part, counts).await.unwrap();
        let entry = upstream_entry(&site::shard_name(0), address, "ready", 1);
        site::put(&site.store, &format!("servers/unbounded-{n}"), &entry);
    }
}

/// Counts of the requests that a client sent.
#[derive(Default)]
struct Sent {
    total: Cell<usize>,
    failed: Cell<usize>,
    /// Those among the failed ones that the gateway refused as overloaded.
    overloaded: Cell<usize>,
    /// Size of the largest answer in bytes.
    largest: Cell<usize>,
    /// Largest memory of the gateway.
    memory_kib: Cell<usize>,
}

async fn send_until(gateway: &Gateway, client: usize, end: Millis, sent: &Sent) {
    while Millis::now() < end {
        let number = sent.total.get();
        sent.total.set(number + 1);
        let id = format!("r-{client}-{number}");
        let answer = gateway.get(&format!("{READ}{number}"), &id).await;
        if answer.status() != StatusCode::OK {
            sent.failed.set(sent.failed.get() + 1);
            let is_overload = answer.body().starts_with(b"overloaded");
            let overloaded = sent.overloaded.get() + usize::from(is_overload);
            sent.overloaded.set(overloaded);
        }
        sent.largest
            .set(sent.largest.get().max(answer.body().len()));
        let memory = memory_kib(gateway.process.id());
        sent.memory_kib.set(sent.memory_kib.get().max(memory));
        compio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// A gateway with upstreams whose answers are unbounded beside normal ones.
struct Mixed {
    site: Site,
    gateway: Gateway,
    counts: Rc<UnboundedCounts>,
    /// Memory of the gateway before.
    memory_kib: usize,
}

async fn start_mixed(part: Unbounded) -> Mixed {
    let site = start_site().await;
    // Requests that a busy machine delays must not count as an overload.
    let mut configuration = site::configuration(SHARDS, 2);
    configuration["routes"][1]["target-latency-ms"] = json!(1_000);
    site::put(&site.store, "op/config", &configuration);
    let gateway = ready(&site).await;
    for n in 0..WARM_UP {
        gateway.get(&format!("{READ}{n}"), &format!("w-{n}")).await;
    }
    let memory_kib = memory_kib(gateway.process.id());
    let counts = Rc::new(UnboundedCounts::default());
    add_upstreams(&site, part, &counts).await;
    wait_until("an unbounded answer is read", PROPAGATION, async || {
        gateway.get(&format!("{READ}0"), "probe").await;
        counts.requests.get() > 0
    })
    .await;
    Mixed {
        site,
        gateway,
        counts,
        memory_kib,
    }
}

/// Sends requests for [`RUN_TIME`]; no more of them fail than reached an upstream with
/// unbounded answers, and the gateway keeps its memory.
async fn check_requests(mixed: &Mixed, clients: usize) -> Sent {
    let (gateway, counts) = (&mixed.gateway, &mixed.counts);
    let (sent, end) = (Sent::default(), Millis::now() + RUN_TIME);
    let clients = (0..clients).map(|client| send_until(gateway, client, end, &sent));
    futures_util::future::join_all(clients).await;
    let growth = sent.memory_kib.get().saturating_sub(mixed.memory_kib);
    println!(
        "{} sent, {} failed ({} overloaded), {} reached an upstream with unbounded answers; \
         at most {} bytes, {growth} KiB more",
        sent.total.get(),
        sent.failed.get(),
        sent.overloaded.get(),
        counts.requests.get(),
        counts.largest.get(),
    );
    assert!(sent.failed.get() <= counts.requests.get());
    assert!(growth <= MEMORY_LIMIT_KIB, "{growth} KiB");
    sent
}

#[rstest]
#[case::head(Unbounded::Head)]
#[case::header_value(Unbounded::HeaderValue)]
#[case::interim(Unbounded::Interim)]
#[case::body(Unbounded::Body)]
#[case::known_body(Unbounded::KnownBody)]
#[case::chunks(Unbounded::Chunks)]
#[case::chunk_extension(Unbounded::ChunkExtension)]
#[case::trailers(Unbounded::Trailers)]
#[case::slow_head(Unbounded::SlowHead)]
#[case::slow_body(Unbounded::SlowBody)]
#[case::stalled_body(Unbounded::StalledBody)]
#[compio::test]
async fn an_unbounded_answer_costs_neither_memory_nor_other_requests(#[case] part: Unbounded) {
    let mixed = start_mixed(part).await;
    let sent = check_requests(&mixed, CLIENTS).await;
    let counts = &mixed.counts;
    assert!(counts.largest.get() <= BYTES_LIMIT);
    wait_until("the connections are closed", CLOSE_TIME, async || {
        counts.open.get() == 0
    })
    .await;
    let log = mixed.gateway.process.read_log();
    let is_logged = |line: &str| {
        line.contains("unbounded-")
            && (line.contains("answer unusable") || line.contains("attempt timed out"))
    };
    assert!(
        log.lines().any(is_logged) || sent.failed.get() == 0,
        "{log}"
    );
}

/// Large answers that end must not wait for the memory that unbounded ones hold.
#[rstest]
#[case::body(Unbounded::Body)]
#[case::stalled_body(Unbounded::StalledBody)]
#[compio::test]
async fn large_answers_are_served_beside_unbounded_ones(#[case] part: Unbounded) {
    let mixed = start_mixed(part).await;
    mixed.site.set_mode(0, &Mode::Large);
    let sent = check_requests(&mixed, LARGE_CLIENTS).await;
    assert_eq!(sent.largest.get(), LARGE_BYTES);
}

/// The gateway stays responsive and says why the store is of no use.
#[rstest]
#[case::head(Unbounded::Head)]
#[case::header_value(Unbounded::HeaderValue)]
#[case::interim(Unbounded::Interim)]
#[case::body(Unbounded::Body)]
#[case::known_body(Unbounded::KnownBody)]
#[case::chunks(Unbounded::Chunks)]
#[case::chunk_extension(Unbounded::ChunkExtension)]
#[case::trailers(Unbounded::Trailers)]
#[case::slow_body(Unbounded::SlowBody)]
#[compio::test]
async fn an_unbounded_answer_of_the_store_costs_no_memory(#[case] part: Unbounded) {
    let counts = Rc::new(UnboundedCounts::default());
    let store = unbounded::start(part, &counts).await.unwrap();
    let gateway = start_gateway_at(store, &[]).await;
    let before = memory_kib(gateway.process.id());
    let (mut growth, mut slowest) = (0, Millis::ZERO);
    let end = Millis::now() + RUN_TIME;
    while Millis::now() < end {
        let started = Millis::now();
        assert!(!gateway.is_ready().await);
        slowest = slowest.max(Millis::now().since(started));
        let memory = memory_kib(gateway.process.id());
        growth = growth.max(memory.saturating_sub(before));
        compio::time::sleep(CHECK_INTERVAL).await;
    }
    println!(
        "{} calls, at most {} bytes, {growth} KiB more, ready answered within {slowest}",
        counts.requests.get(),
        counts.largest.get()
    );
    assert!(counts.requests.get() > 0);
    assert!(counts.largest.get() <= STORE_BYTES_LIMIT);
    assert!(growth <= MEMORY_LIMIT_KIB, "{growth} KiB");
    assert!(slowest <= RESPONSE_TIME, "{slowest}");
    let log = gateway.process.read_log();
    let address = store.to_string();
    let is_logged = |l: &str| l.contains("store unreachable") && l.contains(&address);
    assert!(log.lines().any(is_logged), "{log}");
}
