//! The HTTP client of the key-value store; docs/INTERFACES.md describes the
//! calls.

use std::cell::Cell;
use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use clock::Millis;
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::json;
use transport::{Client, Payload, header_number, uri_component};

use crate::error::{Error, Result};
use crate::kv::{Entry, Store, Swap, VALUE_LIMIT_BYTES};

const SERVICE: &str = "store";
/// Rises each time that the store is restored from a backup.
const EPOCH_HEADER: &str = "store-epoch";
const CALL_TIMEOUT: Millis = Millis(1_500);
/// Time allowed for the response to a watch beyond the time that it waits.
const WATCH_MARGIN: Millis = Millis(1_000);
const RESPONSE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// HTTP client of the key-value store.
pub struct HttpStore {
    client: Client,
    // A watch occupies its connection for seconds, so watches have their own client.
    watch_client: Client,
    epoch: Cell<u64>,
}

impl HttpStore {
    /// Returns a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(address),
            watch_client: Client::new(address),
            epoch: Cell::new(0),
        }
    }

    /// Sends a call and records the epoch of its answer; fails if the answer is of an
    /// earlier epoch than another one.
    async fn call(
        &self,
        client: &Client,
        request: Request<Payload>,
        timeout: Millis,
    ) -> Result<Response<Bytes>> {
        let response = call(SERVICE, client, request, timeout).await?;
        let known = self.epoch.get();
        let epoch = header_number(response.headers(), EPOCH_HEADER);
        let epoch = epoch.map_err(|detail| Error::Malformed {
            service: SERVICE,
            detail,
        })?;
        let epoch = epoch.unwrap_or(known);
        if epoch < known {
            return Err(Error::OutcomeUnknown {
                service: SERVICE,
                detail: format!("answer of epoch {epoch}, now {known}"),
            });
        }
        self.epoch.set(epoch);
        Ok(response)
    }
}

#[derive(Deserialize)]
struct SwapReply {
    version: u64,
}

#[async_trait(?Send)]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let request = build(SERVICE, Method::GET, &path("kv", key), Bytes::new())?;
        let response = self.call(&self.client, request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => decode(SERVICE, response.body()).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(SERVICE, status)),
        }
    }

    async fn swap(&self, key: &str, expected: u64, value: &str) -> Result<Swap> {
        if value.len() > VALUE_LIMIT_BYTES {
            let key = key.to_owned();
            return Err(Error::TooLarge {
                key,
                bytes: value.len(),
                limit: VALUE_LIMIT_BYTES,
            });
        }
        let body = json!({ "expected": expected, "value": value }).to_string();
        let request = build(SERVICE, Method::POST, &path("cas", key), body.into())?;
        let response = self.call(&self.client, request, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => {
                decode::<SwapReply>(SERVICE, response.body()).map(|v| Swap::Written(v.version))
            }
            StatusCode::CONFLICT => Ok(Swap::Conflict),
            status => Err(status_error(SERVICE, status)),
        }
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    async fn watch(&self, key: &str, after: u64, wait: Millis) -> Result<Option<Entry>> {
        let path = format!("{}?after={after}&wait_ms={}", path("watch", key), wait.0);
        let request = build(SERVICE, Method::GET, &path, Bytes::new())?;
        let response = self
            .call(&self.watch_client, request, wait + WATCH_MARGIN)
            .await?;
        match response.status() {
            StatusCode::OK => decode(SERVICE, response.body()).map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            status => Err(status_error(SERVICE, status)),
        }
    }
}

/// Returns the path of an operation on a key; slashes separate segments in both.
fn path(operation: &str, key: &str) -> String {
    let segments = key
        .split('/')
        .map(|s| uri_component(s.as_bytes()).to_string());
    format!("/v1/{operation}/{}", segments.collect::<Vec<_>>().join("/"))
}

pub(crate) fn build(
    service: &'static str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Payload>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, service)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Payload::new(body))
        .map_err(|e| Error::Malformed {
            service,
            detail: e.to_string(),
        })
}

pub(crate) async fn call(
    service: &'static str,
    client: &Client,
    request: Request<Payload>,
    timeout: Millis,
) -> Result<Response<Bytes>> {
    client
        .send(request, RESPONSE_LIMIT_BYTES, timeout)
        .await
        .map_err(|e| {
            let detail = e.to_string();
            match e.is_unsent() {
                true => Error::Unavailable { service, detail },
                false => Error::OutcomeUnknown { service, detail },
            }
        })
}

pub(crate) fn decode<'a, T: Deserialize<'a>>(service: &'static str, body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| Error::Malformed {
        service,
        detail: e.to_string(),
    })
}

/// Returns the error for a status: 503 means that the call had no effect; after
/// any other status its effect is unknown.
pub(crate) fn status_error(service: &'static str, status: StatusCode) -> Error {
    let detail = format!("status {status}");
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable { service, detail },
        _ => Error::OutcomeUnknown { service, detail },
    }
}
