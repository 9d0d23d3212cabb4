//! A gRPC client channel that reconnects on the next call after a failure.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use clock::Millis;
use compio::net::TcpStream;
use cyper_core::{CompioExecutor, HyperStream};
use futures_util::lock::Mutex;
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use schema::operator_client::OperatorClient;
use snafu::ResultExt;
use tonic::body::Body;
use tower_service::Service;

use crate::error::{ConnectSnafu, Error, HandshakeSnafu, Result};
use crate::local::Local;
use crate::timer::RuntimeTimer;

/// gRPC client of the service between daemons.
pub type PeerClient = schema::peer_client::PeerClient<Channel>;

const CONNECT_TIMEOUT: Millis = Millis(500);
const PING_INTERVAL: Millis = Millis(1_000);
const PING_TIMEOUT: Millis = Millis(2_000);
const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// One HTTP/2 connection to a process, opened on first use.
///
/// A connection on which an HTTP/2 ping times out is closed; the next call
/// opens a new one. Clones share the connection.
#[derive(Clone)]
pub struct Channel {
    address: SocketAddr,
    shared: Local<Rc<Shared>>,
}

struct Shared {
    sender: RefCell<Option<SendRequest<Body>>>,
    connect_lock: Mutex<()>,
}

impl Channel {
    /// Returns a channel that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        let shared = Shared {
            sender: RefCell::default(),
            connect_lock: Mutex::new(()),
        };
        Self {
            address,
            shared: Local::new(Rc::new(shared)),
        }
    }

    async fn sender(&self) -> Result<SendRequest<Body>> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let _guard = self.shared.connect_lock.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let sender = connect(self.address).await?;
        *self.shared.sender.borrow_mut() = Some(sender.clone());
        Ok(sender)
    }

    fn open_sender(&self) -> Option<SendRequest<Body>> {
        let sender = self.shared.sender.borrow();
        sender.as_ref().filter(|s| !s.is_closed()).cloned()
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>> {
    let connecting = compio::time::timeout(CONNECT_TIMEOUT.into(), TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(stream) => stream.context(ConnectSnafu { address })?,
        Err(_) => {
            return Err(Error::Timeout {
                address,
                waited: CONNECT_TIMEOUT,
            });
        }
    };
    stream.set_nodelay(true).context(ConnectSnafu { address })?;
    let (sender, conn) = Builder::new(CompioExecutor)
        .timer(RuntimeTimer)
        .keep_alive_interval(Some(PING_INTERVAL.into()))
        .keep_alive_timeout(PING_TIMEOUT.into())
        .handshake(HyperStream::new_plain(stream))
        .await
        .context(HandshakeSnafu { address })?;
    compio::runtime::spawn(async move {
        let _ = conn.await;
    })
    .detach();
    Ok(sender)
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        let channel = self.clone();
        Box::pin(Local::new(async move {
            let mut sender = channel.sender().await?;
            sender.ready().await?;
            Ok(sender.send_request(request).await?)
        }))
    }
}

fn origin(address: SocketAddr) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .expect("a socket address is a valid authority")
}

/// Returns a client of the service between daemons at `address`.
pub fn peer_client(address: SocketAddr) -> PeerClient {
    PeerClient::with_origin(Channel::new(address), origin(address))
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
}

/// Returns a client of the operator service at `address`.
pub fn operator_client(address: SocketAddr) -> OperatorClient<Channel> {
    OperatorClient::with_origin(Channel::new(address), origin(address))
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
}
