//! An invalid request is refused with an error that names the fault, and
//! invalid bytes on any port leave the daemon running.

use std::process::Command;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use rstest::rstest;
use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan, search};

const SEARCH: &str = "/v1/services/jobs/search";
const BOOK: &str = "/v1/services/jobs/book";
const KEY: &str = "01890a5d-ac96-774b-bcce-b302099a8057";

struct BadRequest {
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    detail: &'static str,
}

fn post(
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &str,
) -> BadRequest {
    BadRequest {
        method: "POST",
        path,
        headers,
        body: body.to_owned(),
        status: 400,
        detail: "",
    }
}

#[compio::test]
async fn invalid_requests_get_clear_errors_and_run_nothing() {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let before = fleet.all_executions().await.len();
    let large = format!("{{\"query\":\"{}\"}}", "x".repeat(300_000));
    let cases = [
        BadRequest {
            status: 404,
            detail: "not declared",
            ..post("/v1/services/none/search", &[], r#"{"query":1}"#)
        },
        BadRequest {
            status: 404,
            detail: "no such path",
            ..post("/v1/other", &[], "{}")
        },
        BadRequest {
            status: 405,
            detail: "GET",
            method: "GET",
            ..post(SEARCH, &[], "")
        },
        BadRequest {
            detail: "the body is not",
            ..post(SEARCH, &[], "{")
        },
        BadRequest {
            detail: "unknown field",
            ..post(SEARCH, &[], r#"{"query":1,"shardz":[]}"#)
        },
        BadRequest {
            detail: "no shard `s9`",
            ..post(SEARCH, &[], r#"{"query":1,"shards":["s9"]}"#)
        },
        BadRequest {
            detail: "names no shard",
            ..post(SEARCH, &[], r#"{"query":1,"shards":[]}"#)
        },
        BadRequest {
            detail: "has passed",
            ..post(SEARCH, &[("x-deadline-ms", "-5")], r#"{"query":1}"#)
        },
        BadRequest {
            detail: "whole number",
            ..post(SEARCH, &[("x-deadline-ms", "soon")], r#"{"query":1}"#)
        },
        BadRequest {
            detail: "X-Request-Id",
            ..post(SEARCH, &[("x-request-id", "a b")], r#"{"query":1}"#)
        },
        BadRequest {
            status: 413,
            detail: "larger than",
            ..post(SEARCH, &[], &large)
        },
        BadRequest {
            detail: "header is missing",
            ..post(BOOK, &[], r#"{"booking":1}"#)
        },
        BadRequest {
            detail: "not a UUID",
            ..post(BOOK, &[("idempotency-key", "17")], r#"{"booking":1}"#)
        },
        BadRequest {
            detail: "version 4",
            ..post(
                BOOK,
                &[("idempotency-key", "7f9c24e8-3b12-4fef-91e0-56a2d5a2a1c4")],
                r#"{"booking":1}"#,
            )
        },
        BadRequest {
            detail: "older than",
            ..post(BOOK, &[("idempotency-key", KEY)], r#"{"booking":1}"#)
        },
    ];
    for case in cases {
        let client = fleet.client(0);
        let answer = client
            .send(case.method, case.path, case.headers, case.body.into())
            .await
            .unwrap();
        assert_eq!(
            answer.status, case.status,
            "{} {:?}",
            case.path, answer.body
        );
        let detail = answer.body["detail"].as_str().unwrap();
        assert!(
            detail.contains(case.detail),
            "`{detail}` does not contain `{}`",
            case.detail
        );
        assert_eq!(answer.body["ran"], "no", "{:?}", answer.body);
    }
    assert_eq!(
        fleet.all_executions().await.len(),
        before,
        "a refused request ran"
    );
}

async fn send_raw(address: std::net::SocketAddr, bytes: Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let _ = stream.write_all(bytes).await;
    let read = stream.read(Vec::with_capacity(4_096));
    let _ = compio::time::timeout(std::time::Duration::from_millis(100), read).await;
}

fn random_bytes(seed: u64, length: usize) -> Vec<u8> {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    (0..length).map(|_| rng.random()).collect()
}

#[rstest]
#[case::random(random_bytes(1, 4_000))]
#[case::preface_and_random([b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), random_bytes(2, 4_000)].concat())]
#[case::long_header([b"POST / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 200_000]].concat())]
#[case::cut_body(b"POST /v1/services/jobs/search HTTP/1.1\r\ncontent-length: 100\r\n\r\n{".to_vec())]
#[case::wrong_length(b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n".to_vec())]
#[case::empty(Vec::new())]
fn invalid_bytes_leave_the_daemon_running(#[case] bytes: Vec<u8>) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = Fleet::ready(
            &Binaries::find(),
            Plan {
                daemons: 1,
                ..Plan::default()
            },
        )
        .await;
        let daemon = &fleet.daemons[0];
        for address in [daemon.callers, daemon.peers] {
            for _ in 0..10 {
                send_raw(address, bytes.clone()).await;
            }
        }
        assert!(fleet.daemons[0].process.is_running());
        let answer = search(&fleet.client(0), "jobs", &json!("x")).await.unwrap();
        assert_eq!(answer.body["complete"], true, "{answer:?}");
    });
}

/// Guards against a service name that makes the URI of a call invalid, or that of another
/// service.
#[rstest]
#[case::space("no such service")]
#[case::path("jobs/search?#")]
#[case::escaped("j%6Fbs")]
#[compio::test]
async fn a_command_names_the_service_that_it_was_given(#[case] service: &str) {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let callers = fleet.daemons[0].callers.to_string();
    let command = ["search", "--callers", &callers, service, "1"];
    let output = Command::new(Binaries::find().product)
        .args(command)
        .output();
    let output = output.unwrap();
    let answer = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(answer.contains("not declared"), "{output:?}");
    assert!(answer.contains(service), "{output:?}");
}
