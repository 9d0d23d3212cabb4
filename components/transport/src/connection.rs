//! One HTTP/1.1 client connection. Dropping it closes the socket, which cancels
//! a running request.

use std::net::SocketAddr;

use bytes::Bytes;
use clock::Millis;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use snafu::ResultExt;

use crate::error::{ConnectSnafu, Error, HandshakeSnafu, Result};
use crate::interim::{INTERIM_LIMIT, InterimCount, LimitedStream};
use crate::response::read_body;
use crate::response_memory::ResponseMemory;

/// Largest head of a response, and largest part of a body that is read ahead.
const BUFFER_BYTES: usize = 128 * 1024;

/// Statuses of final responses. The HTTP library reads all numbers from 100 to 999, and
/// takes 101 for a final response, which this client never asks for.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// A request body held in memory.
pub type Payload = Full<Bytes>;

/// An open HTTP/1.1 connection that carries one request at a time.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Payload>,
    interim: InterimCount,
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
        let interim = InterimCount::default();
        let io = LimitedStream::new(stream, interim.clone());
        let (sender, conn) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(io)
            .await
            .context(HandshakeSnafu { address })?;
        let driver = compio::runtime::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self {
            address,
            sender,
            interim,
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
    /// [`Error::NotSent`] if nothing was written, [`Error::Died`] if the connection
    /// was lost, and otherwise an error that [is about the response](Error::is_unusable).
    pub async fn send(
        &mut self,
        request: Request<Payload>,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        self.exchange(request, limit, None).await
    }

    /// Sends one request as [`Connection::send`] does; a large response shares the
    /// memory with the other large ones.
    ///
    /// # Errors
    ///
    /// As [`Connection::send`].
    pub async fn send_within(
        &mut self,
        request: Request<Payload>,
        limit: usize,
        memory: &ResponseMemory,
    ) -> Result<Response<Bytes>> {
        self.exchange(request, limit, Some(memory)).await
    }

    async fn exchange(
        &mut self,
        mut request: Request<Payload>,
        limit: usize,
        memory: Option<&ResponseMemory>,
    ) -> Result<Response<Bytes>> {
        let address = self.address;
        if self.sender.ready().await.is_err() {
            return Err(Error::NotSent { address });
        }
        self.interim.start(&mut request);
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(_) if self.interim.is_over() => {
                let limit = INTERIM_LIMIT;
                return Err(Error::TooManyInterim { address, limit });
            }
            Err(mut e) => match e.take_message() {
                Some(_) => return Err(Error::NotSent { address }),
                None => return Err(Error::from_exchange(address, e.into_error())),
            },
        };
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(Error::InvalidStatus { address, status });
        }
        let (head, body) = response.into_parts();
        let body = read_body(address, body, limit, memory).await?;
        Ok(Response::from_parts(head, body))
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
