//! The server loop for HTTP/1.1 and HTTP/2, with one task for each connection.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use axum::Router;
use clock::Millis;
use compio::net::{TcpListener, TcpSocket, TcpStream};
use cyper_core::{CompioExecutor, HyperStream};
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper_util::server::conn::auto::Builder;
use snafu::ResultExt;
use tower_service::Service;

use crate::error::{ListenSnafu, Result};
use crate::event::Event;
use crate::timer::RuntimeTimer;

// Connections that wait to be accepted; the kernel delays further ones.
const BACKLOG: i32 = 1_024;
// The HTTP library accepts no smaller buffer.
const MIN_BUFFER_BYTES: usize = 8_192;
// Pause after a failed accept, and between counts of the open connections.
const RETRY_INTERVAL: Millis = Millis(50);

/// Limits on the resources that clients can occupy in a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Time within which a request's headers must arrive.
    pub header_timeout: Millis,
    /// Bytes of headers in one request.
    pub header_bytes: u32,
    /// Concurrent requests on one HTTP/2 connection.
    pub streams: u32,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_timeout: Millis(5_000),
            header_bytes: 16 * 1024,
            streams: 4_096,
        }
    }
}

/// A bound TCP listener.
pub struct Listener {
    inner: TcpListener,
    /// The address that was bound.
    pub address: SocketAddr,
}

impl Listener {
    /// Binds `address`; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Self> {
        let inner = listen(address).await.context(ListenSnafu { address })?;
        let address = inner.local_addr().context(ListenSnafu { address })?;
        Ok(Self { inner, address })
    }
}

/// Listens on an address with `SO_REUSEADDR`, since a process that has just
/// ended may have used it.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4().await?,
        false => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address).await?;
    socket.listen(BACKLOG).await
}

/// Serves until `shutdown` happens and returns when the last connection has
/// closed; `open` counts the open connections.
pub async fn serve(
    listener: Listener,
    router: Router,
    limits: ServerLimits,
    shutdown: Event,
    open: Rc<Cell<usize>>,
) {
    let limits = Rc::new(Cell::new(limits));
    serve_with_shared_limits(listener, router, limits, shutdown, open).await;
}

/// Serves as [`serve`] does with limits that may change; a connection keeps
/// those that applied when it was accepted.
pub async fn serve_with_shared_limits(
    listener: Listener,
    router: Router,
    limits: Rc<Cell<ServerLimits>>,
    shutdown: Event,
    open: Rc<Cell<usize>>,
) {
    loop {
        let accept = std::pin::pin!(listener.inner.accept());
        let stop = std::pin::pin!(shutdown.wait());
        let accepted = match select(accept, stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let limits = limits.get();
        match accepted {
            Ok((stream, _)) if open.get() < limits.connections => {
                let task = serve_connection(stream, router.clone(), limits, shutdown.clone());
                let guard = OpenGuard::new(open.clone());
                compio::runtime::spawn(async move {
                    task.await;
                    drop(guard);
                })
                .detach();
            }
            Ok(_) => {}
            Err(_) => compio::time::sleep(RETRY_INTERVAL.into()).await,
        }
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(RETRY_INTERVAL.into()).await;
    }
}

struct OpenGuard(Rc<Cell<usize>>);

impl OpenGuard {
    fn new(count: Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves one connection until it is closed; after `shutdown` happens it is
/// closed once its running request is answered.
pub async fn serve_connection(
    stream: TcpStream,
    router: Router,
    limits: ServerLimits,
    shutdown: Event,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut builder = Builder::new(CompioExecutor);
    builder
        .http1()
        .timer(RuntimeTimer)
        .header_read_timeout(Some(limits.header_timeout.into()))
        .max_buf_size((limits.header_bytes as usize).max(MIN_BUFFER_BYTES));
    builder
        .http2()
        .timer(RuntimeTimer)
        .max_header_list_size(limits.header_bytes)
        .max_concurrent_streams(limits.streams);
    let service = hyper::service::service_fn(move |request: hyper::Request<Incoming>| {
        let mut router = router.clone();
        router.call(request.map(axum::body::Body::new))
    });
    let io = HyperStream::new_plain(stream);
    let mut conn = std::pin::pin!(builder.serve_connection(io, service));
    let stop = std::pin::pin!(shutdown.wait());
    if let Either::Right(_) = select(conn.as_mut(), stop).await {
        conn.as_mut().graceful_shutdown();
        let _ = conn.await;
    }
}
