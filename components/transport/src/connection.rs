//! One HTTP/1.1 client connection. Dropping it closes the socket, which cancels
//! a running request.

use std::net::SocketAddr;

use bytes::Bytes;
use clock::Millis;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use snafu::ResultExt;

use crate::error::{ConnectSnafu, Error, HandshakeSnafu, Result};

/// A request body held in memory.
pub type Payload = Full<Bytes>;

/// An open HTTP/1.1 connection that carries one request at a time.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Payload>,
    // Dropping the handle cancels the task and closes the socket.
    _driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Connect`] or [`Error::Handshake`]; nothing was sent.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .context(ConnectSnafu { address })?;
        stream.set_nodelay(true).context(ConnectSnafu { address })?;
        let io = HyperStream::new_plain(stream);
        let (sender, conn) = http1::handshake(io)
            .await
            .context(HandshakeSnafu { address })?;
        let driver = compio::runtime::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self {
            address,
            sender,
            _driver: driver,
        })
    }

    /// Whether no close of the connection has been detected yet.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends one request and reads the whole response of at most `limit` bytes.
    ///
    /// After any error, or if the future is dropped before it completes, the
    /// connection must not be used again.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if nothing was written, otherwise
    /// [`Error::Died`] or [`Error::TooLarge`].
    pub async fn send(
        &mut self,
        request: Request<Payload>,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let address = self.address;
        if self.sender.ready().await.is_err() {
            return Err(Error::NotSent { address });
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => match e.take_message() {
                Some(_) => return Err(Error::NotSent { address }),
                None => {
                    return Err(Error::Died {
                        address,
                        source: e.into_error(),
                    });
                }
            },
        };
        let (head, body) = response.into_parts();
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(Response::from_parts(head, body.to_bytes())),
            Err(e) => match e.downcast::<hyper::Error>() {
                Ok(source) => Err(Error::Died {
                    address,
                    source: *source,
                }),
                Err(_) => Err(Error::TooLarge { address, limit }),
            },
        }
    }
}

/// Opens a connection, sends one request and closes it, all within `timeout`.
///
/// # Errors
///
/// As [`Connection::open`] and [`Connection::send`], or [`Error::Timeout`].
pub async fn request(
    address: SocketAddr,
    request: Request<Payload>,
    limit: usize,
    timeout: Millis,
) -> Result<Response<Bytes>> {
    let call = async {
        let mut conn = Connection::open(address).await?;
        conn.send(request, limit).await
    };
    match compio::time::timeout(timeout.into(), call).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout {
            address,
            waited: timeout,
        }),
    }
}
