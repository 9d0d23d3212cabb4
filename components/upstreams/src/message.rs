//! The border between the engine and the wire: how a request is written for
//! an upstream, and how its answer is read.

use bytes::Bytes;
use clock::Millis;
use http::{Request, Response};
use serde::{Deserialize, Serialize};
use transport::Payload;

use crate::failure::Result;

/// The upstream that one attempt is sent to.
#[derive(Clone, Copy, Debug)]
pub struct Recipient<'a> {
    /// Identifier of the upstream.
    pub upstream: &'a str,
    /// Name of the shard that it is asked for.
    pub shard: &'a str,
}

/// A request in the terms of one wire.
pub trait Message {
    /// Identifier of the request.
    fn id(&self) -> &str;

    /// Builds the request that one upstream gets; `budget` is the time that
    /// is left. `None` if a value can't be a header.
    fn to_request(&self, recipient: &Recipient<'_>, budget: Millis) -> Option<Request<Payload>>;

    /// Reads an answer, which may belong to another request.
    fn read(&self, recipient: &Recipient<'_>, response: Response<Bytes>) -> Reply;
}

/// An answer as the wire reads it.
#[derive(Debug)]
pub struct Reply {
    /// What it says of the upstream.
    pub report: UpstreamReport,
    /// The answer to the request, or why it is none.
    pub result: Result<Answer>,
}

/// An answer that belongs to its request.
pub type Answer = Response<Bytes>;

/// What an answer says of the upstream itself.
#[derive(Debug, Default)]
pub struct UpstreamReport {
    /// Whether the upstream says that it will stop.
    pub leaving: bool,
    /// Identifier of the upstream's process.
    pub boot: String,
    /// How full the upstream is: 1 if all slots are in use, more if requests wait.
    pub load: Option<f64>,
    /// Time after which the upstream closes the connection if it stays idle.
    pub idle_timeout: Option<Millis>,
    /// The versions that the upstream holds.
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
