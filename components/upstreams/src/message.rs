//! The interface between this crate and a wire format: how a request is
//! written for an upstream, and how its answer is read.

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response};
use serde::{Deserialize, Serialize};
use transport::Payload;

use crate::failure::{Failure, Reason, Result};

/// The upstream that one attempt is sent to.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// Identifier of the upstream.
    pub upstream: &'a str,
    /// Name of the shard that is requested.
    pub shard: &'a str,
}

/// A request in one wire format.
pub trait Message {
    /// Identifier of the request.
    fn id(&self) -> &str;

    /// Builds the HTTP request to one upstream; `time_left` ends at the
    /// deadline. Returns `None` if a value is not a valid header.
    fn to_request(&self, recipient: &Recipient<'_>, time_left: Millis) -> Option<Request<Payload>>;

    /// Reads an answer, which may belong to another request.
    fn read(&self, recipient: &Recipient<'_>, response: Response<Bytes>) -> Reply;
}

/// A decoded answer.
#[derive(Debug)]
pub struct Reply {
    /// State of the upstream that the answer reports.
    pub report: UpstreamReport,
    /// The answer to the request, or why there is none.
    pub result: Result<Answer>,
    /// Whether the answer bears the identifier of the request. A second copy of one
    /// without an identifier could not be told from the next answer on its connection,
    /// which is therefore closed.
    pub is_identified: bool,
}

impl Reply {
    /// Returns what an answer that belongs to another request says of this one and its
    /// upstream: nothing.
    pub fn mismatch() -> Self {
        Self {
            report: UpstreamReport::default(),
            result: Err(Failure::unknown(Reason::Mismatch)),
            is_identified: false,
        }
    }
}

/// An answer that belongs to its request.
pub type Answer = Response<Bytes>;

/// What an answer says of the rate of requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateReport {
    /// Nothing, or nothing that could be read.
    #[default]
    Unknown,
    /// There is no limit.
    Unlimited,
    /// Requests a second from all daemons together.
    PerSecond(f64),
}

/// State that an upstream reports with an answer.
#[derive(Debug, Default)]
pub struct UpstreamReport {
    /// Whether the upstream reports that it will stop.
    pub leaving: bool,
    /// Backoff that the upstream asked of this daemon.
    pub backoff: Option<Millis>,
    /// Rate of requests that the upstream takes.
    pub rate: RateReport,
    /// A header of the answer that could not be read, with its value.
    pub unreadable: Option<String>,
    /// Identifier of the upstream's process.
    pub boot: String,
    /// Load of the upstream: 1 if all slots are in use, more if requests wait.
    pub load: Option<f64>,
    /// Time after which the upstream closes an idle connection.
    pub idle_timeout: Option<Millis>,
    /// The data versions that the upstream holds.
    pub holds: Option<Vec<DataVersion>>,
}

/// One version of the data that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataVersion {
    /// Label of the shard map.
    pub partitioning: String,
    /// Number of the snapshot.
    pub snapshot: u64,
}
