//! Upstreams with unbounded answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use transport::listen;

const BLOCK_BYTES: usize = 64 * 1024;
/// Bytes of a stalled body that are sent at once.
const STALLED_BYTES: usize = 320 * 1024;
const SLOW_INTERVAL: Duration = Duration::from_secs(1);
/// Lets the other tasks of the test run.
const YIELD_TIME: Duration = Duration::from_millis(1);

/// The part of an answer that is unbounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unbounded {
    /// Header after header.
    Head,
    /// One header whose value does not end.
    HeaderValue,
    /// Interim answers before the final one.
    Interim,
    /// A body whose length is not told.
    Body,
    /// A body whose length is told, and is larger than any memory.
    KnownBody,
    /// A body in chunks.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// Headers after the body.
    Trailers,
    /// A head at one byte a second.
    SlowHead,
    /// A body at one byte a second.
    SlowBody,
    /// A large part of a body, and then one byte a second.
    StalledBody,
}

impl Unbounded {
    /// What is sent before the part that is repeated.
    fn start(self) -> String {
        let head = match self {
            Unbounded::Head | Unbounded::SlowHead => "HTTP/1.1 200 OK\r\n",
            Unbounded::HeaderValue => "HTTP/1.1 200 OK\r\nx-long: ",
            Unbounded::Interim => "",
            Unbounded::Body | Unbounded::SlowBody | Unbounded::StalledBody => {
                "HTTP/1.1 200 OK\r\n\r\n"
            }
            Unbounded::KnownBody => "HTTP/1.1 200 OK\r\ncontent-length: 1099511627776\r\n\r\n",
            Unbounded::Chunks => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            Unbounded::ChunkExtension => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x="
            }
            Unbounded::Trailers => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
            }
        };
        match self {
            Unbounded::StalledBody => head.to_owned() + &"x".repeat(STALLED_BYTES),
            _ => head.to_owned(),
        }
    }

    /// What is sent again and again.
    pub fn repeated(self) -> &'static str {
        match self {
            Unbounded::Head | Unbounded::Trailers => "x-header: value\r\n",
            Unbounded::Interim => "HTTP/1.1 103 Early Hints\r\nx-header: value\r\n\r\n",
            Unbounded::Chunks => "10\r\n0123456789abcdef\r\n",
            Unbounded::HeaderValue
            | Unbounded::Body
            | Unbounded::KnownBody
            | Unbounded::ChunkExtension
            | Unbounded::SlowHead
            | Unbounded::SlowBody
            | Unbounded::StalledBody => "x",
        }
    }

    /// Whether it is sent slowly.
    pub fn is_slow(self) -> bool {
        matches!(
            self,
            Unbounded::SlowHead | Unbounded::SlowBody | Unbounded::StalledBody
        )
    }
}

/// Counts what an upstream with unbounded answers has done.
#[derive(Debug, Default)]
pub struct UnboundedCounts {
    /// Requests that were answered.
    pub requests: Cell<usize>,
    /// Connections that are open.
    pub open: Cell<usize>,
    /// Most bytes that were sent on one connection.
    pub largest: Cell<usize>,
}

/// Starts an upstream on a free port of loopback.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start(part: Unbounded, counts: &Rc<UnboundedCounts>) -> std::io::Result<SocketAddr> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    compio::runtime::spawn(accept(listener, part, counts.clone())).detach();
    Ok(address)
}

async fn accept(listener: TcpListener, part: Unbounded, counts: Rc<UnboundedCounts>) {
    while let Ok((stream, _)) = listener.accept().await {
        let counts = counts.clone();
        compio::runtime::spawn(async move {
            counts.open.set(counts.open.get() + 1);
            answer(stream, part, &counts).await;
            counts.open.set(counts.open.get() - 1);
        })
        .detach();
    }
}

/// Answers the first request until the connection is closed.
async fn answer(mut stream: TcpStream, part: Unbounded, counts: &UnboundedCounts) {
    let BufResult(read, _) = stream.read(vec![0_u8; BLOCK_BYTES]).await;
    if !read.is_ok_and(|n| n > 0) {
        return;
    }
    counts.requests.set(counts.requests.get() + 1);
    let block = match part.is_slow() {
        true => part.repeated().to_owned(),
        false => part.repeated().repeat(BLOCK_BYTES / part.repeated().len()),
    };
    let mut sent = 0;
    let mut next = part.start();
    loop {
        let BufResult(written, _) = stream.write_all(next.into_bytes()).await;
        if written.is_err() {
            return;
        }
        sent += block.len();
        counts.largest.set(counts.largest.get().max(sent));
        let pause = match part.is_slow() {
            true => SLOW_INTERVAL,
            false => YIELD_TIME,
        };
        compio::time::sleep(pause).await;
        next = block.clone();
    }
}
