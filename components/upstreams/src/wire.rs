//! The HTTP interface of upstreams; docs/INTERFACES.md describes it.

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use transport::Payload;

use crate::failure::{Failure, Ran, Reason};
use crate::search::Call;

pub(crate) const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

const REQUEST_ID: &str = "x-request-id";
const SHARD: &str = "x-shard";
const SNAPSHOT: &str = "x-snapshot";
const PARTITIONING: &str = "x-partitioning";
const DEADLINE_MS: &str = "x-deadline-ms";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const RAN: &str = "x-ran";
const LEAVING: &str = "x-leaving";
const BOOT: &str = "x-boot";
const LOAD: &str = "x-load";
const HOLDS: &str = "x-holds";
const RETRY_AFTER_MS: &str = "x-retry-after-ms";

/// One sub-request as it is sent to an upstream.
pub(crate) struct Outgoing<'a> {
    pub(crate) call: &'a Call,
    pub(crate) shard: &'a str,
    pub(crate) budget: Millis,
}

impl Outgoing<'_> {
    /// Builds the HTTP request; `None` if a value can't be a header.
    pub(crate) fn to_request(&self) -> Option<Request<Payload>> {
        let call = self.call;
        let path = if call.key.is_some() {
            "/book"
        } else {
            "/search"
        };
        let mut builder = Request::post(path)
            .header(header::HOST, "upstream")
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, &call.request_id)
            .header(SHARD, self.shard)
            .header(PARTITIONING, &call.partitioning)
            .header(DEADLINE_MS, self.budget.0);
        builder = match &call.key {
            Some(key) => builder.header(IDEMPOTENCY_KEY, key),
            None => builder.header(SNAPSHOT, call.snapshot),
        };
        builder.body(Payload::new(call.body.clone())).ok()
    }

    /// Whether an answer repeats what identifies this request.
    pub(crate) fn is_echoed(&self, headers: &HeaderMap) -> bool {
        let call = self.call;
        let is_same_snapshot =
            call.key.is_some() || number(headers, SNAPSHOT) == Some(call.snapshot);
        text(headers, REQUEST_ID) == Some(call.request_id.as_str())
            && text(headers, SHARD) == Some(self.shard)
            && text(headers, PARTITIONING) == Some(call.partitioning.as_str())
            && is_same_snapshot
    }
}

/// What an answer says of the upstream itself.
pub(crate) struct Notes {
    pub(crate) leaving: bool,
    pub(crate) boot: String,
    pub(crate) load: Option<f64>,
    pub(crate) holds: Option<Vec<Held>>,
}

pub(crate) fn notes(headers: &HeaderMap) -> Notes {
    Notes {
        leaving: text(headers, LEAVING).is_some_and(|v| v == "1"),
        boot: text(headers, BOOT).unwrap_or_default().to_owned(),
        load: text(headers, LOAD).and_then(|v| v.parse().ok()),
        holds: text(headers, HOLDS).map(parse_holds),
    }
}

/// Reads a list such as `p1@4,p1@5`; what is malformed is left out.
fn parse_holds(list: &str) -> Vec<Held> {
    let held = |item: &str| {
        let (partitioning, snapshot) = item.trim().rsplit_once('@')?;
        Some(Held {
            partitioning: partitioning.to_owned(),
            snapshot: snapshot.parse().ok()?,
        })
    };
    list.split(',').filter_map(held).collect()
}

/// Reads the status of an answer whose echo was checked.
pub(crate) fn outcome(response: Response<Bytes>) -> Result<Bytes, Failure> {
    let headers = response.headers();
    let is_not_run = text(headers, RAN).is_some_and(|v| v == "no");
    let retry_after = Millis(number(headers, RETRY_AFTER_MS).unwrap_or(0));
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        StatusCode::CONFLICT if is_not_run => Err(Failure::not_run(Reason::SnapshotNotHeld)),
        _ if is_not_run => Err(Failure {
            reason: Reason::Overloaded,
            ran: Ran::No,
            retry_after,
        }),
        status if status.is_client_error() => Err(Failure {
            reason: Reason::UpstreamError,
            ran: Ran::Yes,
            retry_after,
        }),
        _ => Err(Failure::unknown(Reason::UpstreamError)),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// State of an upstream as its health endpoint reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ReportedState {
    /// Serves requests.
    #[default]
    Ok,
    /// Serves requests slowly for a while.
    Cold,
    /// Will stop and wants no new work.
    Leaving,
    /// Says that it can't serve.
    Failing,
}

/// The snapshots of one partitioning that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Held {
    pub(crate) partitioning: String,
    pub(crate) snapshot: u64,
}

/// The answer of an upstream's health endpoint.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct HealthReport {
    pub(crate) state: ReportedState,
    #[serde(default)]
    pub(crate) boot: String,
    #[serde(default)]
    pub(crate) holds: Vec<Held>,
}

/// The answer of an upstream's load endpoint.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct LoadReport {
    pub(crate) load: f64,
}
