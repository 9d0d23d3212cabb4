//! Connections that go silent without being closed, while new ones work.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::select;
use transport::listen;

const BUFFER_BYTES: usize = 64 * 1024;

/// A forwarder in front of a server.
pub struct SilentLink {
    /// Address of the forwarder.
    pub address: SocketAddr,
    /// Number of silences so far.
    silences: Rc<Cell<u64>>,
}

impl SilentLink {
    /// Starts a forwarder to a server on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let link = Self {
            address: listener.local_addr()?,
            silences: Rc::default(),
        };
        let silences = link.silences.clone();
        compio::runtime::spawn(accept(listener, server, silences)).detach();
        Ok(link)
    }

    /// Passes nothing more on the connections that are open now.
    pub fn silence(&self) {
        self.silences.set(self.silences.get() + 1);
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, silences: Rc<Cell<u64>>) {
    while let Ok((caller, _)) = listener.accept().await {
        let silences = silences.clone();
        let forwarding = async move {
            let Ok(callee) = TcpStream::connect(server).await else {
                return;
            };
            let there = std::pin::pin!(copy(caller.clone(), callee.clone(), silences.clone()));
            let back = std::pin::pin!(copy(callee, caller, silences));
            select(there, back).await;
        };
        compio::runtime::spawn(forwarding).detach();
    }
}

/// Copies bytes until the connection ends or goes silent.
async fn copy(mut from: TcpStream, mut to: TcpStream, silences: Rc<Cell<u64>>) {
    let opened_at = silences.get();
    loop {
        let BufResult(read, buffer) = from.read(Vec::with_capacity(BUFFER_BYTES)).await;
        if silences.get() != opened_at {
            pending::<()>().await;
        }
        if !read.is_ok_and(|n| n > 0) || to.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}
