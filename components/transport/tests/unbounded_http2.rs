//! HTTP/2 peers whose answers do not end: a call fails, and little of the answer is kept.

use std::net::SocketAddr;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use rstest::rstest;
use schema::FetchCatalogRequest;
use transport::{listen, peer_client};

/// A call to a peer takes no longer than this.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Growth of this process.
const MEMORY_LIMIT_KIB: usize = 96 * 1024;
const PAUSE: Duration = Duration::from_millis(1);

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const CONTINUATION: u8 = 9;
const END_HEADERS: u8 = 4;
/// `:status: 200` and `:status: 103` as HPACK writes them.
const STATUS_200: &[u8] = &[0x88];
const STATUS_103: &[u8] = &[0x08, 0x03, b'1', b'0', b'3'];
/// A gRPC message that claims to have the largest size that there is.
const ENDLESS_MESSAGE: &[u8] = &[0, 0xff, 0xff, 0xff, 0xff];
/// A gRPC message of 48 MiB, which is allowed.
const LARGE_MESSAGE: &[u8] = &[0, 3, 0, 0, 0];

/// The part of an answer that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    Head,
    Interim,
    Message,
    /// A large message that stops arriving.
    StalledMessage,
    Trailers,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = length[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// Returns header fields that are not to be indexed.
fn fields() -> Vec<u8> {
    let field = [&[0, 8][..], b"x-header", &[127, 73], &[b'v'; 200]].concat();
    field.repeat(64)
}

impl Endless {
    fn start(self) -> Vec<u8> {
        let head = frame(HEADERS, END_HEADERS, 1, STATUS_200);
        match self {
            Endless::Head => frame(HEADERS, 0, 1, STATUS_200),
            Endless::Interim => Vec::new(),
            Endless::Message => [head, frame(DATA, 0, 1, ENDLESS_MESSAGE)].concat(),
            Endless::StalledMessage => [head, frame(DATA, 0, 1, LARGE_MESSAGE)].concat(),
            Endless::Trailers => [head, frame(HEADERS, 0, 1, &[])].concat(),
        }
    }

    fn repeated(self) -> Vec<u8> {
        match self {
            Endless::Head | Endless::Trailers => frame(CONTINUATION, 0, 1, &fields()),
            Endless::Interim => frame(HEADERS, END_HEADERS, 1, STATUS_103),
            Endless::Message => frame(DATA, 0, 1, &[b'x'; 16_000]),
            Endless::StalledMessage => Vec::new(),
        }
    }
}

/// Starts a peer that answers the first call.
async fn start(part: Endless) -> SocketAddr {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    compio::runtime::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        answer(stream, part).await;
    })
    .detach();
    address
}

async fn answer(mut stream: TcpStream, part: Endless) {
    let settings = frame(SETTINGS, 0, 0, &[]);
    let _ = stream.write_all(settings).await;
    compio::time::sleep(Duration::from_millis(50)).await;
    let BufResult(read, _) = stream.read(vec![0_u8; 65_536]).await;
    assert!(read.unwrap() > 0);
    let mut next = part.start();
    while stream.write_all(next).await.0.is_ok() {
        compio::time::sleep(PAUSE).await;
        next = part.repeated();
    }
}

/// Returns the largest memory of this process so far.
fn peak_memory_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.unwrap()
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .unwrap()
}

/// Guards against a peer that uses up the memory of the daemons that call it.
#[rstest]
#[case::head(Endless::Head)]
#[case::interim(Endless::Interim)]
#[case::message(Endless::Message)]
#[case::stalled_message(Endless::StalledMessage)]
#[case::trailers(Endless::Trailers)]
#[compio::test]
async fn an_answer_without_end_costs_no_memory(#[case] part: Endless) {
    let before = peak_memory_kib();
    let mut client = peer_client(start(part).await);
    let call = client.fetch_catalog(FetchCatalogRequest::default());
    let result = compio::time::timeout(CALL_TIME, call).await;
    let growth = peak_memory_kib() - before;
    assert!(
        !matches!(result, Ok(Ok(_))),
        "{part:?} was taken for an answer"
    );
    println!(
        "{part:?}: {:?}, {growth} KiB more",
        result.map(|r| r.map(drop))
    );
    assert!(growth <= MEMORY_LIMIT_KIB, "{growth} KiB");
}
