//! The shutdown of a gateway: each request that it takes gets an answer before
//! the process exits.

use std::time::{Duration, Instant};

use bytes::Bytes;
use clock::Millis;
use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::{join, join_all};
use http::{Method, Request, Response, StatusCode};
use serde_json::json;
use standins::platform::gateway::{Gateway, ready};
use standins::platform::site::{self, HOST, READ, SEARCH, Site, Size, WRITE};
use standins::platform::upstream::Mode;
use transport::{Client, Payload, Result};

const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// The grace period in the settings of the site's gateways.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time after SIGTERM at which the load balancer may still send callers.
const EARLY_ARRIVAL: Duration = Duration::from_millis(2_000);
/// Time after SIGTERM at which callers send on connections that they kept.
const LATE_ARRIVAL: Duration = Duration::from_millis(3_200);
/// Time that the last answers need to reach their callers.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// A refusal that needs no upstream takes less.
const REFUSAL_LIMIT: Duration = Duration::from_millis(200);
const CALLER_TIMEOUT: Millis = Millis(8_000);
const CALLER_PATIENCE: Millis = Millis(10_000);

/// Starts a site whose reads and writes may take longer than the grace period.
async fn start_site(read_objective: Millis) -> Site {
    let size = Size {
        shards: 2,
        replicas: 2,
        service_time: Millis(5),
    };
    let site = Site::start(size).await.expect("loopback ports are free");
    let mut configuration = site::configuration(size.shards, 2);
    for route in [1, 2] {
        configuration["routes"][route]["timeout-ms"] = json!(CALLER_TIMEOUT);
    }
    configuration["routes"][1]["target-latency-ms"] = json!(read_objective);
    site::put(&site.store, "op/config", &configuration);
    site
}

/// Returns a caller that keeps an idle connection to the gateway.
async fn connect(gateway: &Gateway) -> Client {
    let caller = Client::new(gateway.endpoints.callers());
    let answer = send(&caller, Method::GET, SEARCH, "warm").await;
    assert_eq!(answer.unwrap().status(), StatusCode::OK);
    caller
}

async fn send(caller: &Client, method: Method, prefix: &str, id: &str) -> Result<Response<Bytes>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("{prefix}x"))
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-milliseconds", CALLER_TIMEOUT.0)
        .body(Payload::default())
        .unwrap();
    caller
        .send(request, ANSWER_LIMIT_BYTES, CALLER_PATIENCE)
        .await
}

/// Sends a read and a write, and waits for both answers.
async fn read_and_write(reader: &Client, writer: &Client) -> [Result<Response<Bytes>>; 2] {
    let read = send(reader, Method::GET, READ, "read");
    let write = send(writer, Method::POST, WRITE, "write");
    join(read, write).await.into()
}

/// Checks that both requests ran and were answered, and that the gateway exits
/// within the grace period with no request in flight.
async fn assert_none_cut(
    site: &Site,
    gateway: &mut Gateway,
    answers: [Result<Response<Bytes>>; 2],
    signalled: Instant,
) {
    for answer in answers {
        let answer = answer.expect("the gateway answers before it exits");
        assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    }
    assert!(site.runs("read") >= 1);
    assert_eq!(site.runs("write"), 1);
    assert_eq!(gateway.process.wait(GRACE_PERIOD).await, Some(0));
    assert!(signalled.elapsed() < GRACE_PERIOD);
    let stopped = gateway.process.wait_for_line("\"stopped\"").await;
    assert_eq!(stopped["cut"], 0, "{stopped}");
}

#[compio::test]
async fn a_request_that_is_in_flight_at_the_stop_signal_is_answered_before_the_exit() {
    let site = start_site(Millis(100)).await;
    let mut gateway = ready(&site).await;
    let (reader, writer) = (connect(&gateway).await, connect(&gateway).await);
    site.set_mode(0, &Mode::Hanging);
    let stop = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        gateway.process.terminate();
        Instant::now()
    };
    let (answers, signalled) = join(read_and_write(&reader, &writer), stop).await;
    assert_none_cut(&site, &mut gateway, answers, signalled).await;
}

#[compio::test]
async fn a_request_that_arrives_while_leaving_is_answered_before_the_exit() {
    let site = start_site(Millis(100)).await;
    let mut gateway = ready(&site).await;
    let (reader, writer) = (connect(&gateway).await, connect(&gateway).await);
    site.set_mode(0, &Mode::Hanging);
    gateway.process.terminate();
    let signalled = Instant::now();
    let read = async {
        compio::time::sleep(LATE_ARRIVAL).await;
        send(&reader, Method::GET, READ, "read").await
    };
    // A later write is refused, see gateway_late_requests.rs.
    let write = async {
        compio::time::sleep(EARLY_ARRIVAL).await;
        send(&writer, Method::POST, WRITE, "write").await
    };
    let answers = join(read, write).await.into();
    assert_none_cut(&site, &mut gateway, answers, signalled).await;
    // Upstreams stop work before the last answers are due.
    let time_left = |arrival| Millis::from(GRACE_PERIOD - arrival - ANSWER_TIME).0;
    let (early, late) = (time_left(EARLY_ARRIVAL), time_left(LATE_ARRIVAL));
    let deadlines = site.shards[0].iter().flat_map(|u| u.deadlines.take());
    let deadlines: Vec<u64> = deadlines.collect();
    let beyond = deadlines.iter().filter(|d| **d > late).count();
    assert_eq!(beyond, 1, "that of the write: {deadlines:?}");
    assert!(deadlines.iter().all(|d| *d <= early), "{deadlines:?}");
}

#[compio::test]
async fn writes_that_outlast_the_shutdown_are_refused_as_not_run_only_if_they_were_not_sent() {
    let site = start_site(Millis(100)).await;
    let gateway = ready(&site).await;
    site.set_mode(0, &Mode::Hanging);
    let slots: usize = site.shards[0].iter().map(|u| u.slots).sum();
    let caller = Client::new(gateway.endpoints.callers());
    let writes = (0..2 * slots).map(async |n| {
        let id = format!("write-{n}");
        let answer = send(&caller, Method::POST, WRITE, &id).await;
        (answer.unwrap().status(), site.runs(&id))
    });
    let stop = async {
        compio::time::sleep(Duration::from_millis(300)).await;
        gateway.process.terminate();
    };
    let (outcomes, ()) = join(join_all(writes), stop).await;
    let (sent, unsent) = (
        (StatusCode::GATEWAY_TIMEOUT, 1),
        (StatusCode::SERVICE_UNAVAILABLE, 0),
    );
    assert!(outcomes.contains(&sent), "{outcomes:?}");
    assert!(outcomes.contains(&unsent), "{outcomes:?}");
    let is_true = |o: &(StatusCode, usize)| *o == sent || *o == unsent;
    assert!(outcomes.iter().all(is_true), "{outcomes:?}");
}

#[compio::test]
async fn a_leaving_gateway_refuses_at_once_what_it_cannot_finish() {
    let site = start_site(Millis(3_000)).await;
    let gateway = ready(&site).await;
    let (reader, searcher) = (connect(&gateway).await, connect(&gateway).await);
    gateway.process.terminate();
    compio::time::sleep(LATE_ARRIVAL).await;
    let started = Instant::now();
    let refused = send(&reader, Method::GET, READ, "read").await.unwrap();
    assert!(started.elapsed() < REFUSAL_LIMIT, "{:?}", started.elapsed());
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(refused.headers()["connection"], "close");
    assert_eq!(site.runs("read"), 0);
    // A route with a shorter objective is still served.
    let served = send(&searcher, Method::GET, SEARCH, "search")
        .await
        .unwrap();
    assert_eq!(served.status(), StatusCode::OK);
}

#[compio::test]
async fn a_second_stop_signal_cuts_no_request() {
    let site = start_site(Millis(100)).await;
    let mut gateway = ready(&site).await;
    let reader = connect(&gateway).await;
    for upstream in &site.shards[0] {
        upstream.service_time.set(Millis(1_500));
    }
    let stop = async {
        for _ in 0..2 {
            compio::time::sleep(Duration::from_millis(200)).await;
            gateway.process.terminate();
        }
    };
    let (answer, ()) = join(send(&reader, Method::GET, READ, "read"), stop).await;
    assert_eq!(answer.unwrap().status(), StatusCode::OK);
    assert_eq!(gateway.process.wait(GRACE_PERIOD).await, Some(0));
}

#[compio::test]
async fn a_body_that_does_not_arrive_is_refused_by_the_deadline() {
    let site = start_site(Millis(100)).await;
    let gateway = ready(&site).await;
    let head = format!(
        "POST {WRITE}x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: partial\r\n\
         deadline-milliseconds: 500\r\ncontent-length: 10\r\n\r\nhalf"
    );
    let mut stream = TcpStream::connect(gateway.endpoints.callers())
        .await
        .unwrap();
    stream.write_all(head).await.0.unwrap();
    let started = Instant::now();
    let BufResult(read, answer) = stream.read(vec![0; 1_024]).await;
    assert!(started.elapsed() < Duration::from_millis(1_000));
    let answer = String::from_utf8_lossy(&answer[..read.unwrap()]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert_eq!(site.runs("partial"), 0);
}

#[compio::test]
async fn a_write_whose_caller_disconnected_is_finished_before_the_exit() {
    const SERVICE_TIME: Millis = Millis(4_500);
    let site = start_site(Millis(100)).await;
    let mut gateway = ready(&site).await;
    for upstream in &site.shards[0] {
        upstream.service_time.set(SERVICE_TIME);
    }
    let address = gateway.endpoints.callers();
    let request = Request::post(format!("{WRITE}x"))
        .header("host", HOST)
        .header("request-id", "write")
        .header("deadline-milliseconds", CALLER_TIMEOUT.0)
        .body(Payload::default())
        .unwrap();
    let sent = transport::request(address, request, ANSWER_LIMIT_BYTES, Millis(200));
    assert!(sent.await.is_err(), "the caller disconnects after 200 ms");
    gateway.process.terminate();
    assert_eq!(gateway.process.wait(GRACE_PERIOD).await, Some(0));
    assert_eq!(site.runs("write"), 1);
    let cancelled: usize = site.shards[0].iter().map(|u| u.cancelled.get()).sum();
    assert_eq!(
        cancelled, 0,
        "the gateway exited before the write had ended"
    );
}
