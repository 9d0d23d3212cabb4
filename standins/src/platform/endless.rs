//! Upstreams whose answers have no end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use transport::listen;

const BLOCK_BYTES: usize = 64 * 1024;
const SLOW_INTERVAL: Duration = Duration::from_secs(1);

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// Header after header.
    Head,
    /// One header whose value does not end.
    HeaderValue,
    /// Interim answers before the final one.
    Interim,
    /// A body whose length is not told.
    Body,
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
}

impl Endless {
    /// What is sent before the part that is repeated.
    fn start(self) -> &'static str {
        match self {
            Endless::Head | Endless::SlowHead => "HTTP/1.1 200 OK\r\n",
            Endless::HeaderValue => "HTTP/1.1 200 OK\r\nx-long: ",
            Endless::Interim => "",
            Endless::Body | Endless::SlowBody => "HTTP/1.1 200 OK\r\n\r\n",
            Endless::Chunks => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            Endless::ChunkExtension => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x=",
            Endless::Trailers => {
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
            }
        }
    }

    /// What is sent again and again.
    pub fn repeated(self) -> &'static str {
        match self {
            Endless::Head | Endless::Trailers => "x-header: value\r\n",
            Endless::Interim => "HTTP/1.1 103 Early Hints\r\nx-header: value\r\n\r\n",
            Endless::Chunks => "10\r\n0123456789abcdef\r\n",
            Endless::HeaderValue
            | Endless::Body
            | Endless::ChunkExtension
            | Endless::SlowHead
            | Endless::SlowBody => "x",
        }
    }

    /// Whether it is sent slowly.
    pub fn is_slow(self) -> bool {
        matches!(self, Endless::SlowHead | Endless::SlowBody)
    }
}

/// Counts what an upstream without end has done.
#[derive(Debug, Default)]
pub struct EndlessCounts {
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
pub async fn start(part: Endless, counts: &Rc<EndlessCounts>) -> std::io::Result<SocketAddr> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    compio::runtime::spawn(accept(listener, part, counts.clone())).detach();
    Ok(address)
}

async fn accept(listener: TcpListener, part: Endless, counts: Rc<EndlessCounts>) {
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
async fn answer(mut stream: TcpStream, part: Endless, counts: &EndlessCounts) {
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
    let mut next = part.start().to_owned();
    loop {
        let BufResult(written, _) = stream.write_all(next.into_bytes()).await;
        if written.is_err() {
            return;
        }
        sent += block.len();
        counts.largest.set(counts.largest.get().max(sent));
        if part.is_slow() {
            compio::time::sleep(SLOW_INTERVAL).await;
        }
        next = block.clone();
    }
}
