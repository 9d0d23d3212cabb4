//! Bad input gets a clear error; garbage on any port leaves the daemon
//! running.

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use rstest::rstest;
use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan, search};

const SEARCH: &str = "/v1/services/jobs/search";
const BOOK: &str = "/v1/services/jobs/book";
const KEY: &str = "01890a5d-ac96-774b-bcce-b302099a8057";

struct Bad {
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    detail: &'static str,
}

fn post(path: &'static str, headers: &'static [(&'static str, &'static str)], body: &str) -> Bad {
    Bad {
        method: "POST",
        path,
        headers,
        body: body.to_owned(),
        status: 400,
        detail: "",
    }
}

#[compio::test]
async fn bad_requests_get_clear_errors_and_run_nothing() {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let before = fleet.all_executions().await.len();
    let large = format!("{{\"query\":\"{}\"}}", "x".repeat(300_000));
    let cases = [
        Bad {
            status: 404,
            detail: "not declared",
            ..post("/v1/services/none/search", &[], r#"{"query":1}"#)
        },
        Bad {
            status: 404,
            detail: "no such path",
            ..post("/v1/other", &[], "{}")
        },
        Bad {
            status: 405,
            detail: "GET",
            method: "GET",
            ..post(SEARCH, &[], "")
        },
        Bad {
            detail: "the body is not",
            ..post(SEARCH, &[], "{")
        },
        Bad {
            detail: "unknown field",
            ..post(SEARCH, &[], r#"{"query":1,"shardz":[]}"#)
        },
        Bad {
            detail: "no shard `s9`",
            ..post(SEARCH, &[], r#"{"query":1,"shards":["s9"]}"#)
        },
        Bad {
            detail: "names no shard",
            ..post(SEARCH, &[], r#"{"query":1,"shards":[]}"#)
        },
        Bad {
            detail: "has passed",
            ..post(SEARCH, &[("x-deadline-ms", "-5")], r#"{"query":1}"#)
        },
        Bad {
            detail: "whole number",
            ..post(SEARCH, &[("x-deadline-ms", "soon")], r#"{"query":1}"#)
        },
        Bad {
            detail: "X-Request-Id",
            ..post(SEARCH, &[("x-request-id", "a b")], r#"{"query":1}"#)
        },
        Bad {
            status: 413,
            detail: "larger than",
            ..post(SEARCH, &[], &large)
        },
        Bad {
            detail: "header is missing",
            ..post(BOOK, &[], r#"{"booking":1}"#)
        },
        Bad {
            detail: "not a UUID",
            ..post(BOOK, &[("idempotency-key", "17")], r#"{"booking":1}"#)
        },
        Bad {
            detail: "version 4",
            ..post(
                BOOK,
                &[("idempotency-key", "7f9c24e8-3b12-4fef-91e0-56a2d5a2a1c4")],
                r#"{"booking":1}"#,
            )
        },
        Bad {
            detail: "older than",
            ..post(BOOK, &[("idempotency-key", KEY)], r#"{"booking":1}"#)
        },
    ];
    for bad in cases {
        let client = fleet.client(0);
        let answer = client
            .send(bad.method, bad.path, bad.headers, bad.body.into())
            .await
            .unwrap();
        assert_eq!(answer.status, bad.status, "{} {:?}", bad.path, answer.body);
        let detail = answer.body["detail"].as_str().unwrap();
        assert!(
            detail.contains(bad.detail),
            "`{detail}` does not say `{}`",
            bad.detail
        );
        assert_eq!(answer.body["ran"], "no", "{:?}", answer.body);
    }
    assert_eq!(fleet.all_executions().await.len(), before, "nothing ran");
}

async fn send_raw(address: std::net::SocketAddr, bytes: Vec<u8>) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    let _ = stream.write_all(bytes).await;
    let read = stream.read(Vec::with_capacity(4_096));
    let _ = compio::time::timeout(std::time::Duration::from_millis(100), read).await;
}

fn garbage(seed: u64, length: usize) -> Vec<u8> {
    use rand::rngs::StdRng;
    use rand::{RngExt, SeedableRng};
    let mut rng = StdRng::seed_from_u64(seed);
    (0..length).map(|_| rng.random()).collect()
}

#[rstest]
#[case::random(garbage(1, 4_000))]
#[case::preface_and_random([b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), garbage(2, 4_000)].concat())]
#[case::long_header([b"POST / HTTP/1.1\r\nx: ".to_vec(), vec![b'a'; 200_000]].concat())]
#[case::cut_body(b"POST /v1/services/jobs/search HTTP/1.1\r\ncontent-length: 100\r\n\r\n{".to_vec())]
#[case::wrong_length(b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n".to_vec())]
#[case::empty(Vec::new())]
fn garbage_leaves_the_daemon_running(#[case] bytes: Vec<u8>) {
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
