//! The answers to callers, which are encoded as JSON.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::value::RawValue;

/// The answer to a search.
#[derive(Debug, Serialize)]
pub struct SearchAnswer {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// The service that was searched.
    pub service: String,
    /// The configuration revision that planned the search.
    pub revision: u64,
    /// Label of the shard map.
    pub partitioning: String,
    /// The snapshot that all rows are from.
    pub snapshot: u64,
    /// Whether every requested shard is covered.
    pub complete: bool,
    /// The shards whose rows are included.
    pub covered: Vec<String>,
    /// The requested shards whose rows are not included.
    pub missing: Vec<MissingShard>,
    /// The rows of each covered shard.
    pub rows: BTreeMap<String, Box<RawValue>>,
}

/// A shard that an answer does not cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MissingShard {
    /// Name of the shard.
    pub shard: String,
    /// Why it is missing.
    pub reason: String,
}

/// The answer to a booking that ran.
#[derive(Debug, Serialize)]
pub struct BookingAnswer {
    /// The caller's identifier of the request.
    pub request_id: String,
    /// The service that was booked.
    pub service: String,
    /// The shard that holds the booking.
    pub shard: String,
    /// The booking's idempotency key.
    pub key: String,
    /// Whether this is the stored answer to an earlier request.
    pub replayed: bool,
    /// The upstream's answer.
    pub result: Box<RawValue>,
}
