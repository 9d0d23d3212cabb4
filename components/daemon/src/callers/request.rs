//! The parts of a caller's request: identifier, time limit, idempotency key and
//! body.

use axum::extract::Request;
use bytes::Bytes;
use clock::Millis;
use http::HeaderMap;
use http_body_util::{BodyExt, Limited};
use ledger::Key;
use query::{Kind, Refusal, Result};
use serde::Deserialize;
use uuid::Uuid;

use super::{CUT_RETRY_AFTER, REQUEST_ID_HEADER};
use crate::state::Daemon;

const DEADLINE_MS_HEADER: &str = "x-deadline-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_REQUEST_ID_LENGTH: usize = 128;
/// Time for a body to arrive.
const BODY_TIMEOUT: Millis = Millis(5_000);
const MAX_DEADLINE: Millis = Millis(60_000);

/// Decodes a body of JSON.
pub(super) fn decode<'a, T: Deserialize<'a>>(body: &'a Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| {
        Refusal::invalid(
            Kind::BadRequest,
            format!("the body is not a valid request: {e}"),
        )
    })
}

/// Reads the body within [`BODY_TIMEOUT`], at most until the shutdown cuts requests
/// in flight.
pub(super) async fn read_body(daemon: &Daemon, request: Request) -> Result<Bytes> {
    let limit = daemon.settings.body_bytes;
    let body = Limited::new(request.into_body(), limit).collect();
    let body = compio::time::timeout(BODY_TIMEOUT.into(), body);
    let Some(body) = daemon.in_flight.until_cut(body).await else {
        let detail = "this daemon shut down before the body arrived";
        return Err(Refusal::not_run(Kind::Unready, detail, CUT_RETRY_AFTER));
    };
    let Ok(body) = body else {
        let detail = format!("the body did not arrive within {BODY_TIMEOUT}");
        return Err(Refusal::invalid(Kind::BadRequest, detail));
    };
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(Refusal::invalid(
            Kind::BodyTooLarge,
            format!("the body is larger than {limit} bytes"),
        )),
        Err(e) => Err(Refusal::invalid(
            Kind::BadRequest,
            format!("the body could not be read: {e}"),
        )),
    }
}

/// Returns the caller's request identifier, or a new one if it is absent or
/// invalid.
pub(super) fn request_id(headers: &HeaderMap) -> String {
    let supplied = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok())
        .filter(|v| is_valid_request_id(v));
    supplied.map_or_else(|| Uuid::new_v4().to_string(), str::to_owned)
}

fn is_valid_request_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_LENGTH && id.bytes().all(|b| b.is_ascii_graphic())
}

/// Refuses a request whose identifier is invalid.
pub(super) fn check_request_id(headers: &HeaderMap) -> Result<()> {
    let is_valid = headers
        .get(REQUEST_ID_HEADER)
        .is_none_or(|v| v.to_str().is_ok_and(is_valid_request_id));
    match is_valid {
        true => Ok(()),
        false => {
            let detail = format!(
                "X-Request-Id must be 1 to {MAX_REQUEST_ID_LENGTH} visible ASCII characters"
            );
            Err(Refusal::invalid(Kind::BadRequest, detail))
        }
    }
}

/// Returns how long the caller waits for the answer, if it says so.
pub(super) fn timeout(headers: &HeaderMap) -> Result<Option<Millis>> {
    let Some(value) = headers.get(DEADLINE_MS_HEADER) else {
        return Ok(None);
    };
    let number: Option<i64> = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    match number {
        None => Err(Refusal::invalid(
            Kind::BadRequest,
            "X-Deadline-Ms is not a whole number of milliseconds",
        )),
        Some(ms) if ms <= 0 => Err(Refusal::invalid(
            Kind::BadRequest,
            "the deadline in X-Deadline-Ms has passed",
        )),
        Some(ms) => Ok(Some(Millis(ms.unsigned_abs()).min(MAX_DEADLINE))),
    }
}

/// Returns the idempotency key of a booking.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Result<Key> {
    let value = headers.get(IDEMPOTENCY_KEY_HEADER);
    let value = value.ok_or_else(|| {
        Refusal::invalid(Kind::BadRequest, "the Idempotency-Key header is missing")
    })?;
    let text = value.to_str().unwrap_or_default();
    Key::parse(text).map_err(|e| Refusal::invalid(Kind::BadRequest, e.to_string()))
}
