//! The native HTTP interface of upstreams; see docs/INTERFACES.md.

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Request, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use transport::Payload;

use crate::failure::{Failure, Ran, Reason};
use crate::message::{Answer, DataVersion, Message, RateReport, Recipient, Reply, UpstreamReport};

const REQUEST_ID_HEADER: &str = "x-request-id";
const SHARD_HEADER: &str = "x-shard";
const SNAPSHOT_HEADER: &str = "x-snapshot";
const PARTITIONING_HEADER: &str = "x-partitioning";
const DEADLINE_MS_HEADER: &str = "x-deadline-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const RAN_HEADER: &str = "x-ran";
const LEAVING_HEADER: &str = "x-leaving";
const BOOT_HEADER: &str = "x-boot";
const LOAD_HEADER: &str = "x-load";
const HOLDS_HEADER: &str = "x-holds";
const RETRY_AFTER_MS_HEADER: &str = "x-retry-after-ms";

/// A search or a booking on the native interface.
#[derive(Clone, Debug)]
pub struct NativeMessage {
    /// Unique identifier that answers must repeat.
    pub request_id: String,
    /// Label of the shard map.
    pub partitioning: String,
    /// Number of the snapshot; unused by bookings.
    pub snapshot: u64,
    /// Idempotency key of a booking.
    pub key: Option<String>,
    /// The caller's body.
    pub body: Bytes,
}

impl Message for NativeMessage {
    fn id(&self) -> &str {
        &self.request_id
    }

    fn to_request(&self, recipient: &Recipient<'_>, time_left: Millis) -> Option<Request<Payload>> {
        let path = if self.key.is_some() {
            "/book"
        } else {
            "/search"
        };
        let mut builder = Request::post(path)
            .header(header::HOST, "upstream")
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, &self.request_id)
            .header(SHARD_HEADER, recipient.shard)
            .header(PARTITIONING_HEADER, &self.partitioning)
            .header(DEADLINE_MS_HEADER, time_left.0);
        builder = match &self.key {
            Some(key) => builder.header(IDEMPOTENCY_KEY_HEADER, key),
            None => builder.header(SNAPSHOT_HEADER, self.snapshot),
        };
        builder.body(Payload::new(self.body.clone())).ok()
    }

    fn read(&self, recipient: &Recipient<'_>, response: Response<Bytes>) -> Reply {
        if !self.is_echoed(recipient.shard, response.headers()) {
            return Reply::mismatch();
        }
        Reply {
            report: report(response.headers()),
            result: outcome(response),
            is_identified: true,
        }
    }
}

impl NativeMessage {
    /// Whether an answer repeats the headers that identify this request.
    fn is_echoed(&self, shard: &str, headers: &HeaderMap) -> bool {
        let is_same_snapshot =
            self.key.is_some() || number(headers, SNAPSHOT_HEADER) == Some(self.snapshot);
        text(headers, REQUEST_ID_HEADER) == Some(self.request_id.as_str())
            && text(headers, SHARD_HEADER) == Some(shard)
            && text(headers, PARTITIONING_HEADER) == Some(self.partitioning.as_str())
            && is_same_snapshot
    }
}

fn report(headers: &HeaderMap) -> UpstreamReport {
    UpstreamReport {
        rate: RateReport::Unknown,
        backoff: None,
        unreadable: None,
        leaving: text(headers, LEAVING_HEADER).is_some_and(|v| v == "1"),
        boot: text(headers, BOOT_HEADER).unwrap_or_default().to_owned(),
        load: text(headers, LOAD_HEADER).and_then(|v| v.parse().ok()),
        idle_timeout: None,
        holds: text(headers, HOLDS_HEADER).map(parse_holds),
    }
}

/// Parses a list such as `p1@4,p1@5`; malformed items are left out.
fn parse_holds(list: &str) -> Vec<DataVersion> {
    let held = |item: &str| {
        let (partitioning, snapshot) = item.trim().rsplit_once('@')?;
        Some(DataVersion {
            partitioning: partitioning.to_owned(),
            snapshot: snapshot.parse().ok()?,
        })
    };
    list.split(',').filter_map(held).collect()
}

/// Decodes the status of an answer that belongs to the request.
fn outcome(response: Response<Bytes>) -> Result<Answer, Failure> {
    let headers = response.headers();
    let is_not_run = text(headers, RAN_HEADER).is_some_and(|v| v == "no");
    let retry_after = Millis(number(headers, RETRY_AFTER_MS_HEADER).unwrap_or(0));
    match response.status() {
        StatusCode::OK => Ok(response),
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
    /// Will stop and accepts no new requests.
    Leaving,
    /// Can't serve requests.
    Failing,
}

/// The answer of an upstream's health endpoint.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct HealthReport {
    pub(crate) state: ReportedState,
    #[serde(default)]
    pub(crate) boot: String,
    #[serde(default)]
    pub(crate) holds: Vec<DataVersion>,
}

/// The answer of an upstream's load endpoint.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct LoadReport {
    pub(crate) load: f64,
}
