//! Requests of callers to a daemon.

use serde_json::{Value, json};

use crate::client::{Answer, JsonClient};

/// Sends a search to a daemon.
///
/// # Errors
///
/// Fails if no response arrives.
pub async fn search(
    client: &JsonClient,
    service: &str,
    query: &Value,
) -> transport::Result<Answer> {
    client
        .post(
            &format!("/v1/services/{service}/search"),
            &json!({ "query": query }),
        )
        .await
}

/// Sends a booking to a daemon.
///
/// # Errors
///
/// Fails if no response arrives.
pub async fn book(
    client: &JsonClient,
    service: &str,
    key: &str,
    booking: &Value,
) -> transport::Result<Answer> {
    let path = format!("/v1/services/{service}/book");
    let body = json!({ "booking": booking }).to_string();
    client
        .send("POST", &path, &[("idempotency-key", key)], body.into())
        .await
}
