//! JSON client for tests and tools.

use std::net::SocketAddr;

use bytes::Bytes;
use clock::Millis;
use http::{Request, StatusCode, header};
use serde_json::Value;
use transport::{Client, Payload, Result};

const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
const TIMEOUT: Millis = Millis(20_000);
const IDLE_LIMIT: usize = 4_096;

/// Sends JSON requests to one address.
pub struct JsonClient {
    client: Client,
}

/// An HTTP response with its status and JSON body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body; null if it is not JSON.
    pub body: Value,
}

impl JsonClient {
    /// Returns a client without an open connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::with_idle_limit(address, IDLE_LIMIT),
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives.
    pub async fn get(&self, path: &str) -> Result<Answer> {
        self.send("GET", path, &[], Bytes::new()).await
    }

    /// Sends a GET request and returns the body as text.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives.
    ///
    /// # Panics
    ///
    /// Panics if the path is malformed.
    pub async fn text(&self, path: &str) -> Result<String> {
        let request = Request::get(path)
            .header(header::HOST, "test")
            .body(Payload::default());
        let request = request.expect("the path is well formed");
        let response = self
            .client
            .send(request, ANSWER_LIMIT_BYTES, TIMEOUT)
            .await?;
        Ok(String::from_utf8_lossy(response.body()).into_owned())
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Answer> {
        self.send("POST", path, &[], body.to_string().into()).await
    }

    /// Sends a request with headers and a body.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives.
    ///
    /// # Panics
    ///
    /// Panics if the path or a header is malformed.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Answer> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, "test")
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Payload::new(body))
            .expect("the path and headers are well formed");
        let response = self
            .client
            .send(request, ANSWER_LIMIT_BYTES, TIMEOUT)
            .await?;
        let retry_after = response.headers().get(header::RETRY_AFTER);
        Ok(Answer {
            status: response.status(),
            retry_after: retry_after.and_then(|v| v.to_str().ok()?.parse().ok()),
            body: serde_json::from_slice(response.body()).unwrap_or(Value::Null),
        })
    }
}
