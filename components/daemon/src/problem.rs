//! Refusals as HTTP responses of the type `application/problem+json`.

use axum::response::Response;
use clock::Millis;
use http::header;
use query::Refusal;
use serde::Serialize;
use upstreams::Ran;

const SECOND: Millis = Millis(1_000);

#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
    request_id: &'a str,
}

/// Returns the HTTP response for a refusal.
pub(crate) fn response(refusal: &Refusal, request_id: &str) -> Response {
    let name = refusal.kind.name();
    let problem = Problem {
        kind: format!("urn:coltsfootgw:{name}"),
        title: name,
        status: refusal.kind.status(),
        detail: &refusal.detail,
        ran: refusal.ran,
        retry_after_ms: refusal.retry_after,
        request_id,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut builder = Response::builder()
        .status(problem.status)
        .header(header::CONTENT_TYPE, "application/problem+json")
        .header("x-request-id", request_id);
    if let Some(after) = refusal.retry_after {
        builder = builder.header(header::RETRY_AFTER, after.0.div_ceil(SECOND.0).max(1));
    }
    builder.body(body.into()).unwrap_or_default()
}
