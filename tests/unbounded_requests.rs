//! Callers and peers with unbounded requests: gateways and daemons close the
//! connection, and keep their memory. Real processes run against stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Millis;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use futures_util::future::{join_all, select};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan, wait_until};
use standins::memory::memory_kib;
use standins::platform::gateway::{PROPAGATION, ready};
use standins::platform::site::{self, HOST, READ, SHARDS, WRITE, start_site};
use standins::platform::unbounded::Unbounded;

const BLOCK_BYTES: usize = 64 * 1024;
const SLOW_INTERVAL: Duration = Duration::from_millis(200);
const CONNECTIONS: usize = 16;
/// Longest time that a header or a body may take, with a margin for a busy machine.
const CLOSE_TIME: Duration = Duration::from_secs(9);
const MEMORY_LIMIT_KIB: usize = 32 * 1024;

/// Starts a request and sends its last part until the connection is closed.
async fn send_unbounded(address: SocketAddr, start: &str, part: Unbounded) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let block = match part.is_slow() {
        true => part.repeated().to_owned(),
        false => part.repeated().repeat(BLOCK_BYTES / part.repeated().len()),
    };
    let mut next = start.to_owned();
    let write = async {
        while writer.write_all(next.into_bytes()).await.0.is_ok() {
            if part.is_slow() {
                compio::time::sleep(SLOW_INTERVAL).await;
            }
            next = block.clone();
        }
    };
    let read = async {
        let mut buffer = vec![0_u8; BLOCK_BYTES];
        loop {
            let BufResult(read, returned) = reader.read(buffer).await;
            match read {
                Ok(0) | Err(_) => return,
                Ok(_) => buffer = returned,
            }
        }
    };
    select(std::pin::pin!(write), std::pin::pin!(read)).await;
}

/// Returns the start of a request whose last part is unbounded.
fn start_of(method: &str, path: &str, host: &str, part: Unbounded) -> String {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nrequest-id: unbounded\r\n\
         content-type: application/json\r\ndeadline-milliseconds: 1000\r\n"
    );
    let body = "transfer-encoding: chunked\r\n\r\n";
    match part {
        Unbounded::HeaderValue => format!("{head}x-long: "),
        Unbounded::Chunks => format!("{head}{body}"),
        Unbounded::ChunkExtension => format!("{head}{body}4;x="),
        Unbounded::Trailers => format!("{head}{body}4\r\nbody\r\n0\r\n"),
        Unbounded::SlowBody => format!("{head}content-length: 100000\r\n\r\n"),
        _ => head,
    }
}

async fn send_all(address: SocketAddr, start: &str, part: Unbounded) {
    let sent = (0..CONNECTIONS).map(|_| send_unbounded(address, start, part));
    let closed = compio::time::timeout(CLOSE_TIME, join_all(sent)).await;
    assert!(closed.is_ok(), "connections are open after {CLOSE_TIME:?}");
}

#[rstest]
#[case::head(Unbounded::Head)]
#[case::header_value(Unbounded::HeaderValue)]
#[case::chunks(Unbounded::Chunks)]
#[case::chunk_extension(Unbounded::ChunkExtension)]
#[case::trailers(Unbounded::Trailers)]
#[case::slow_head(Unbounded::SlowHead)]
#[case::slow_body(Unbounded::SlowBody)]
#[compio::test]
async fn a_gateway_closes_unbounded_requests(#[case] part: Unbounded) {
    let site = start_site().await;
    let mut configuration = site::configuration(SHARDS, 2);
    configuration["limits"]["idle-timeout-ms"] = json!(3_000);
    configuration["routes"][1]["prefix"] = json!("/moved/");
    let gateway = ready(&site).await;
    site::put(&site.store, "op/config", &configuration);
    wait_until("the limits are in force", PROPAGATION, async || {
        let answer = gateway.get("/moved/1", "probe").await;
        answer.status() == StatusCode::OK
    })
    .await;
    let before = memory_kib(gateway.process.id());
    let callers = start_of("POST", &format!("{WRITE}1"), HOST, part);
    let peers = start_of("POST", "/v1/crashes", "peer", part);
    let (to_callers, to_peers) = (gateway.endpoints.callers(), gateway.endpoints.peers());
    futures_util::join!(
        send_all(to_callers, &callers, part),
        send_all(to_peers, &peers, part)
    );
    let growth = memory_kib(gateway.process.id()).saturating_sub(before);
    assert!(growth <= MEMORY_LIMIT_KIB, "{growth} KiB");
    assert_eq!(site.runs("unbounded"), 0);
    let answer = gateway.get("/moved/1", "after").await;
    assert_eq!(answer.status(), StatusCode::OK);
    let old = gateway.get(&format!("{READ}1"), "old").await;
    assert_eq!(old.status(), StatusCode::NOT_FOUND);
}

#[rstest]
#[case::head(Unbounded::Head)]
#[case::chunks(Unbounded::Chunks)]
#[case::slow_head(Unbounded::SlowHead)]
#[case::slow_body(Unbounded::SlowBody)]
#[compio::test]
async fn a_daemon_closes_unbounded_requests(#[case] part: Unbounded) {
    let mut fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let before = memory_kib(fleet.daemons[0].process.id());
    let start = start_of("POST", "/v1/services/jobs/search", "daemon", part);
    let begin = Millis::now();
    send_all(fleet.daemons[0].callers, &start, part).await;
    println!("closed after {}", Millis::now().since(begin));
    let growth = memory_kib(fleet.daemons[0].process.id()).saturating_sub(before);
    assert!(growth <= MEMORY_LIMIT_KIB, "{growth} KiB");
    assert!(fleet.daemons[0].process.is_running());
}
