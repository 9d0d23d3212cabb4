//! A leaving daemon answers each request that it has read, bounds new ones by the
//! time that it has left, and reports the requests that it cuts.

use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use compio::io::{AsyncReadExt, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::{join, join_all};
use rstest::rstest;
use schema::{
    ClaimRequest, DispatchRequest, GetRequest, LeaveRequest, PlanRequest, ScatterRequest,
    StatusRequest,
};
use serde_json::{Value, json};
use standins::client::{Answer, JsonClient};
use standins::fleet::{Binaries, Fleet, Plan, book, search};
use tonic::{Code, Status};
use transport::{Client, Payload, PeerClient, operator_client, peer_client};
use uuid::Uuid;

#[path = "support/local_fleet.rs"]
mod local_fleet;

use local_fleet::{UPSTREAMS, hang_upstreams, jobs_service, start_fleet};

const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
const LONG_TIMEOUT: Millis = Millis(20_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Search,
    Booking,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubRequest {
    Scatter,
    Dispatch,
    Claim,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Plan,
    Status,
    Leave,
}

async fn start(deadline: Millis, grace: Millis, drain: Millis) -> Fleet {
    start_fleet(jobs_service(deadline), grace, drain).await
}

async fn send(
    client: &JsonClient,
    request: Request,
    id: &str,
    timeout: Millis,
) -> transport::Result<Answer> {
    let (timeout, key) = (timeout.0.to_string(), Uuid::now_v7().to_string());
    let headers = [
        ("x-request-id", id),
        ("x-deadline-ms", timeout.as_str()),
        ("idempotency-key", key.as_str()),
    ];
    let (path, body): (_, Bytes) = match request {
        Request::Search => ("search", json!({ "query": id }).to_string().into()),
        Request::Booking => ("book", json!({ "booking": id }).to_string().into()),
    };
    let path = format!("/v1/services/jobs/{path}");
    client.send("POST", &path, &headers, body).await
}

/// Terminates daemon 0 after a delay and returns its exit code.
async fn terminate(fleet: &mut Fleet, delay: Duration) -> Option<i32> {
    compio::time::sleep(delay).await;
    fleet.daemons[0].process.terminate();
    fleet.daemons[0].process.wait(EXIT_TIMEOUT).await
}

/// Returns the log lines of daemon 0 with a message.
fn log_lines(fleet: &Fleet, message: &str) -> Vec<Value> {
    let log = fleet.daemons[0].process.read_log();
    let lines = log.lines().filter_map(|l| serde_json::from_str(l).ok());
    lines.filter(|l: &Value| l["msg"] == message).collect()
}

#[rstest]
#[case::search(Request::Search)]
#[case::booking(Request::Booking)]
fn a_request_in_flight_at_the_end_of_a_shutdown_is_answered(#[case] request: Request) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = start(Millis(1_000), Millis(200), Millis(800)).await;
        hang_upstreams(&fleet).await;
        let client = fleet.client(0);
        let sent = send(&client, request, "r-cut", LONG_TIMEOUT);
        let (answer, code) = join(sent, terminate(&mut fleet, Duration::from_millis(300))).await;
        let answer = answer.expect("the request is answered before the exit");
        assert_eq!(code, Some(0));
        assert_eq!(answer.body["ran"], "unknown", "{answer:?}");
        assert_eq!(answer.body["request_id"], "r-cut", "{answer:?}");
        let drained = &log_lines(&fleet, "drained")[0];
        assert_eq!(drained["finished"], 0, "{drained}");
        assert_eq!(drained["cut"], 1, "{drained}");
        let cut = log_lines(&fleet, "request cut");
        assert_eq!(cut.len(), 1, "{cut:?}");
        assert_eq!(cut[0]["request_id"], "r-cut", "{cut:?}");
        assert!(cut[0]["elapsed_ms"].as_u64() >= Some(1_000), "{cut:?}");
    });
}

#[rstest]
#[case::search(Request::Search)]
#[case::booking(Request::Booking)]
fn a_request_during_a_shutdown_is_answered_within_the_time_left(#[case] request: Request) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = start(Millis(500), Millis(1_000), Millis(1_000)).await;
        hang_upstreams(&fleet).await;
        let client = fleet.client(0);
        let sent = async {
            compio::time::sleep(Duration::from_millis(600)).await;
            send(&client, request, "r-late", LONG_TIMEOUT).await
        };
        let (answer, code) = join(sent, terminate(&mut fleet, Duration::from_millis(100))).await;
        let answer = answer.expect("the request is answered before the exit");
        assert_eq!(code, Some(0));
        assert_eq!(answer.body["ran"], "unknown", "{answer:?}");
    });
}

#[rstest]
#[case::search(Request::Search)]
#[case::booking(Request::Booking)]
fn a_request_that_can_not_finish_before_the_exit_is_refused(#[case] request: Request) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = start(Millis(5_000), Millis(1_500), Millis(1_000)).await;
        let client = fleet.client(0);
        let sent = async {
            compio::time::sleep(Duration::from_millis(600)).await;
            send(&client, request, "r-refused", LONG_TIMEOUT).await
        };
        let (answer, code) = join(sent, terminate(&mut fleet, Duration::from_millis(100))).await;
        let answer = answer.expect("the request is answered before the exit");
        assert_eq!(code, Some(0));
        assert_eq!(answer.status, 503, "{answer:?}");
        assert_eq!(answer.body["ran"], "no", "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        let executions = fleet.all_executions().await;
        let has_run = executions.iter().any(|e| e["body"] == "\"r-refused\"");
        assert!(!has_run, "a refused request ran");
    });
}

#[compio::test]
async fn a_daemon_counts_the_requests_that_finish_during_a_shutdown() {
    let mut fleet = start(Millis(5_000), Millis(100), Millis(5_000)).await;
    for number in 1..=UPSTREAMS {
        let name = format!("jobs-{number}");
        fleet.control(&name, json!({ "service_ms": 1_000.0 })).await;
    }
    let client = fleet.client(0);
    let sent = join_all((0..2).map(|n| {
        let (client, query) = (&client, json!(n));
        async move { search(client, "jobs", &query).await }
    }));
    let (answers, code) = join(sent, terminate(&mut fleet, Duration::from_millis(200))).await;
    assert_eq!(code, Some(0));
    for answer in answers {
        assert_eq!(answer.unwrap().status, 200);
    }
    let drained = &log_lines(&fleet, "drained")[0];
    assert_eq!(drained["finished"], 2, "{drained}");
    assert_eq!(drained["cut"], 0, "{drained}");
}

#[compio::test]
async fn a_booking_whose_caller_left_is_finished_before_the_exit() {
    let mut fleet = start(Millis(5_000), Millis(0), Millis(5_000)).await;
    for number in 1..=UPSTREAMS {
        let name = format!("jobs-{number}");
        fleet.control(&name, json!({ "service_ms": 1_500.0 })).await;
    }
    let client = fleet.client(0);
    let sent = send(&client, Request::Booking, "b-left", LONG_TIMEOUT);
    let left = compio::time::timeout(Duration::from_millis(300), sent).await;
    assert!(left.is_err(), "the caller leaves before the outcome");
    drop(client);
    let code = terminate(&mut fleet, Duration::ZERO).await;
    assert_eq!(code, Some(0));
    let drained = &log_lines(&fleet, "drained")[0];
    assert_eq!(drained["finished"], 1, "{drained}");
    assert_eq!(drained["cut"], 0, "{drained}");
    assert!(drained["after_ms"].as_u64() >= Some(700), "{drained}");
}

async fn send_to_peer(
    mut client: PeerClient,
    request: SubRequest,
    timeout: Millis,
) -> Result<(), Status> {
    let (service, partitioning) = ("jobs".to_owned(), "p1".to_owned());
    let (key, body) = (Uuid::now_v7().to_string(), b"\"sub\"".to_vec());
    match request {
        SubRequest::Scatter => {
            let message = ScatterRequest {
                request_id: "r-sub".to_owned(),
                service,
                partitioning,
                snapshot: 1,
                shards: vec!["s0".to_owned()],
                budget_ms: timeout.0,
                body,
                ..ScatterRequest::default()
            };
            client.scatter(message).await.map(|_| ())
        }
        SubRequest::Dispatch => {
            let message = DispatchRequest {
                request_id: "r-sub".to_owned(),
                service,
                partitioning,
                shard: "s0".to_owned(),
                key,
                budget_ms: timeout.0,
                body,
                ..DispatchRequest::default()
            };
            client.dispatch(message).await.map(|_| ())
        }
        SubRequest::Claim => {
            let message = ClaimRequest {
                service,
                key,
                nonce: "nonce".to_owned(),
                claimer: "entry-2".to_owned(),
                budget_ms: timeout.0,
            };
            client.claim(message).await.map(|_| ())
        }
    }
}

#[rstest]
#[case::scatter(SubRequest::Scatter)]
#[case::dispatch(SubRequest::Dispatch)]
#[case::claim(SubRequest::Claim)]
fn a_sub_request_in_flight_at_the_end_of_a_shutdown_is_answered(#[case] request: SubRequest) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = start(Millis(1_000), Millis(200), Millis(800)).await;
        hang_upstreams(&fleet).await;
        fleet.set_store_faults(json!({ "hang": true })).await;
        let client = peer_client(fleet.daemons[0].peers);
        let sent = send_to_peer(client, request, LONG_TIMEOUT);
        let (reply, code) = join(sent, terminate(&mut fleet, Duration::from_millis(300))).await;
        assert_eq!(code, Some(0));
        // A status without a source was sent by the peer; the others report a closed
        // connection.
        let closed = reply
            .err()
            .filter(|s| std::error::Error::source(s).is_some());
        assert!(closed.is_none(), "the connection closed: {closed:?}");
        assert_eq!(log_lines(&fleet, "request cut").len(), 1);
    });
}

#[rstest]
#[case::scatter(SubRequest::Scatter)]
#[case::dispatch(SubRequest::Dispatch)]
#[case::claim(SubRequest::Claim)]
fn a_sub_request_that_can_not_finish_before_the_exit_is_refused(#[case] request: SubRequest) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = start(Millis(5_000), Millis(1_500), Millis(1_000)).await;
        let client = peer_client(fleet.daemons[0].peers);
        let sent = async {
            compio::time::sleep(Duration::from_millis(600)).await;
            send_to_peer(client, request, LONG_TIMEOUT).await
        };
        let (reply, code) = join(sent, terminate(&mut fleet, Duration::from_millis(100))).await;
        assert_eq!(code, Some(0));
        let status = reply.expect_err("the sub-request is refused");
        let ran = status.metadata().get("x-ran").expect("the status says so");
        assert_eq!(ran, "no", "{status:?}");
        let executions = fleet.all_executions().await;
        let has_run = executions.iter().any(|e| e["body"] == "\"sub\"");
        assert!(!has_run, "a refused sub-request ran");
    });
}

#[compio::test]
async fn a_leaving_daemon_closes_the_connections_that_it_answers_on() {
    let mut fleet = start(Millis(1_000), Millis(1_000), Millis(1_000)).await;
    let client = Client::new(fleet.daemons[0].callers);
    let get = || {
        let request = http::Request::get("/readyz").header(http::header::HOST, "test");
        let request = request.body(Payload::default()).unwrap();
        client.send(request, 1_024, Millis(5_000))
    };
    let before = get().await.unwrap();
    assert_eq!(before.headers().get("connection"), None);
    let during = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        get().await.unwrap()
    };
    let (during, code) = join(during, terminate(&mut fleet, Duration::ZERO)).await;
    assert_eq!(during.status(), 503);
    assert_eq!(during.headers().get("connection").unwrap(), "close");
    assert_eq!(code, Some(0));
}

#[compio::test]
async fn the_only_daemon_serves_during_its_grace() {
    let plan = Plan {
        daemons: 1,
        settings: json!({ "grace_ms": 1_500, "drain_ms": 5_000, "heartbeat_ms": 200 }),
        ..Plan::default()
    };
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    let client = fleet.client(0);
    let sent = async {
        compio::time::sleep(Duration::from_millis(500)).await;
        let found = search(&client, "jobs", &json!("late")).await;
        (
            found,
            send(&client, Request::Booking, "b-late", LONG_TIMEOUT).await,
        )
    };
    let ((found, booked), code) = join(sent, terminate(&mut fleet, Duration::ZERO)).await;
    assert_eq!(code, Some(0));
    let (found, booked) = (found.unwrap(), booked.unwrap());
    assert_eq!(found.body["complete"], true, "{found:?}");
    assert_eq!(booked.status, 200, "{booked:?}");
}

#[compio::test]
async fn a_claim_that_was_not_used_is_released_before_the_exit() {
    let mut fleet = start(Millis(1_000), Millis(0), Millis(5_000)).await;
    // The store takes the claim, but its answer does not arrive by the deadline.
    fleet.set_store_faults(json!({ "lose_answers": 1 })).await;
    let key = Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str()), ("x-deadline-ms", "500")];
    let body: Bytes = json!({ "booking": "b-unused" }).to_string().into();
    let client = fleet.client(0);
    let sent = client.send("POST", "/v1/services/jobs/book", &headers, body);
    let (refused, code) = join(sent, terminate(&mut fleet, Duration::from_millis(100))).await;
    assert_eq!(code, Some(0));
    let refused = refused.unwrap();
    assert_eq!(refused.body["ran"], "no", "{refused:?}");
    fleet.set_store_faults(json!({})).await;
    let retried = book(&fleet.client(1), "jobs", &key, &json!("b-unused")).await;
    let retried = retried.unwrap();
    assert_eq!(retried.status, 200, "{retried:?}");
}

#[compio::test]
async fn a_request_whose_body_does_not_arrive_is_refused_before_the_exit() {
    let mut fleet = start(Millis(1_000), Millis(0), Millis(500)).await;
    let mut stream = TcpStream::connect(fleet.daemons[0].callers).await.unwrap();
    let head =
        "POST /v1/services/jobs/search HTTP/1.1\r\nhost: test\r\ncontent-length: 50\r\n\r\n{";
    stream.write_all(head).await.unwrap();
    let code = terminate(&mut fleet, Duration::from_millis(200)).await;
    assert_eq!(code, Some(0));
    let (read, received) = stream.read_to_end(Vec::new()).await.unwrap();
    let response = String::from_utf8_lossy(&received[..read]);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("\"ran\":\"no\""), "{response}");
}

#[compio::test]
async fn a_silent_peer_does_not_delay_the_exit() {
    let plan = Plan {
        daemons: 2,
        settings: json!({ "grace_ms": 0, "drain_ms": 500, "heartbeat_ms": 4_000 }),
        ..Plan::default()
    };
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    fleet.daemons[1].process.freeze();
    let code = terminate(&mut fleet, Duration::ZERO).await;
    fleet.daemons[1].process.resume();
    assert_eq!(code, Some(0));
    let drained = &log_lines(&fleet, "drained")[0];
    assert!(drained["after_ms"].as_u64() <= Some(1_500), "{drained}");
}

async fn operate(address: std::net::SocketAddr, operation: Operation) -> Result<(), Status> {
    let mut client = operator_client(address);
    match operation {
        Operation::Plan => {
            let declared = client.get(GetRequest::default()).await?.into_inner();
            let message = PlanRequest {
                yaml: declared.yaml,
                ..PlanRequest::default()
            };
            client.plan(message).await.map(|_| ())
        }
        Operation::Status => client.status(StatusRequest {}).await.map(|_| ()),
        Operation::Leave => {
            let instance = "entry-2".to_owned();
            client.leave(LeaveRequest { instance }).await.map(|_| ())
        }
    }
}

#[rstest]
#[case::plan(Operation::Plan, "plan")]
#[case::status(Operation::Status, "status")]
#[case::forwarded_leave(Operation::Leave, "leave")]
fn an_operators_request_in_flight_at_the_end_of_a_shutdown_is_answered(
    #[case] operation: Operation,
    #[case] kind: &str,
) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let plan = Plan {
            daemons: 2,
            settings: json!({ "grace_ms": 200, "drain_ms": 800, "heartbeat_ms": 4_000 }),
            ..Plan::default()
        };
        let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
        fleet.set_store_faults(json!({ "hang": true })).await;
        fleet.daemons[1].process.freeze();
        let address = fleet.daemons[0].peers;
        // The store's calls time out; the request arrives when less time is left.
        let sent = async {
            compio::time::sleep(Duration::from_millis(800)).await;
            operate(address, operation).await
        };
        let (reply, code) = join(sent, terminate(&mut fleet, Duration::from_millis(300))).await;
        fleet.daemons[1].process.resume();
        assert_eq!(code, Some(0));
        let status = reply.expect_err("the request has no outcome");
        // Only a status that the daemon sent has no source.
        let source = std::error::Error::source(&status);
        assert!(source.is_none(), "the connection closed: {status:?}");
        assert_eq!(status.code(), Code::Unavailable, "{status:?}");
        let cut = log_lines(&fleet, "request cut");
        assert_eq!(cut.len(), 1, "{cut:?}");
        assert_eq!(cut[0]["kind"], kind, "{cut:?}");
    });
}
