//! An HTTP/1.1 client for one address that keeps a few idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response};

use crate::connection::{Connection, Payload};
use crate::error::{Error, Result};
use crate::response_memory::ResponseMemory;

const DEFAULT_IDLE_LIMIT: usize = 4;

/// Sends requests to one address; a connection is reused only after its
/// response was read completely.
pub struct Client {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    idle_limit: usize,
    connect_timeout: Option<Millis>,
    memory: Option<Rc<ResponseMemory>>,
}

impl Client {
    /// Returns a client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_idle_limit(address, DEFAULT_IDLE_LIMIT)
    }

    /// Returns a client that keeps up to `idle_limit` idle connections.
    pub fn with_idle_limit(address: SocketAddr, idle_limit: usize) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            idle_limit,
            connect_timeout: None,
            memory: None,
        }
    }

    /// Lets large responses share their memory with other large ones.
    pub fn with_memory(self, memory: &Rc<ResponseMemory>) -> Self {
        Self {
            memory: Some(memory.clone()),
            ..self
        }
    }

    /// Bounds the time for opening a connection; what takes longer was not sent.
    pub fn with_connect_timeout(self, timeout: Millis) -> Self {
        Self {
            connect_timeout: Some(timeout),
            ..self
        }
    }

    /// Sends a request and reads its response of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// The request can have had an effect unless [`Error::is_unsent`] is true.
    pub async fn send(
        &self,
        request: Request<Payload>,
        limit: usize,
        timeout: Millis,
    ) -> Result<Response<Bytes>> {
        self.within(timeout, self.exchange(request, limit)).await
    }

    /// Sends a request as [`Client::send`] does, but on a new connection.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn send_anew(
        &self,
        request: Request<Payload>,
        limit: usize,
        timeout: Millis,
    ) -> Result<Response<Bytes>> {
        self.within(timeout, self.exchange_anew(request, limit))
            .await
    }

    async fn within(
        &self,
        timeout: Millis,
        exchange: impl Future<Output = Result<Response<Bytes>>>,
    ) -> Result<Response<Bytes>> {
        match compio::time::timeout(timeout.into(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout {
                address: self.address,
                waited: timeout,
            }),
        }
    }

    async fn exchange(&self, request: Request<Payload>, limit: usize) -> Result<Response<Bytes>> {
        while let Some(mut conn) = self.take_idle() {
            match self.send_on(&mut conn, request.clone(), limit).await {
                Err(Error::NotSent { .. }) => {}
                Ok(response) => return Ok(self.keep_idle(conn, response)),
                Err(e) => return Err(e),
            }
        }
        self.exchange_anew(request, limit).await
    }

    async fn exchange_anew(
        &self,
        request: Request<Payload>,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let mut conn = self.open().await?;
        let response = self.send_on(&mut conn, request, limit).await?;
        Ok(self.keep_idle(conn, response))
    }

    async fn send_on(
        &self,
        conn: &mut Connection,
        request: Request<Payload>,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        match &self.memory {
            Some(memory) => conn.send_within(request, limit, memory).await,
            None => conn.send(request, limit).await,
        }
    }

    async fn open(&self) -> Result<Connection> {
        let address = self.address;
        let opening = Connection::open(address);
        let Some(waited) = self.connect_timeout else {
            return opening.await;
        };
        let opened = compio::time::timeout(waited.into(), opening).await;
        opened.unwrap_or(Err(Error::ConnectTimeout { address, waited }))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(Connection::is_open);
        idle.pop()
    }

    fn keep_idle(&self, conn: Connection, response: Response<Bytes>) -> Response<Bytes> {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.idle_limit && conn.is_open() {
            idle.push(conn);
        }
        response
    }
}
