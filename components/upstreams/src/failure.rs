//! Why a sub-request has no answer, and whether it ran.

use clock::Millis;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Result of this crate.
pub type Result<T, E = Failure> = std::result::Result<T, E>;

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It was not and will not be executed.
    No,
    /// It was executed.
    Yes,
    /// It may have been executed.
    Unknown,
}

impl From<u32> for Ran {
    fn from(value: u32) -> Self {
        match value {
            0 => Ran::No,
            1 => Ran::Yes,
            _ => Ran::Unknown,
        }
    }
}

impl From<Ran> for u32 {
    fn from(ran: Ran) -> Self {
        match ran {
            Ran::No => 0,
            Ran::Yes => 1,
            Ran::Unknown => 2,
        }
    }
}

/// Why a sub-request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No slot would become free in time.
    Overloaded,
    /// A request of another workspace got its place in the full queue.
    Displaced,
    /// All replicas are at the rates of requests that they take.
    RateLimited,
    /// No replica is available: all are leaving or unreachable.
    NoReplica,
    /// No replica holds the snapshot.
    SnapshotNotHeld,
    /// This daemon does not have the shard map of the request.
    PartitioningUnknown,
    /// No answer arrived in time.
    Timeout,
    /// The connection was lost while the request ran.
    ConnectionDied,
    /// An answer did not belong to the request.
    Mismatch,
    /// An answer was malformed or larger than allowed.
    UnusableAnswer,
    /// The upstream answered with an error.
    UpstreamError,
    /// Another process listens at the upstream's address.
    Misdirected,
    /// The caller disconnected before the request was sent.
    CallerLeft,
    /// The caller's key was withdrawn before the request was sent.
    Revoked,
    /// The request is refused because upstreams crashed while it ran.
    Quarantined,
    /// The daemon that owns the shard did not answer.
    OwnerUnreachable,
}

impl Reason {
    /// Returns the name used in answers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Overloaded => "overloaded",
            Reason::Displaced => "displaced",
            Reason::RateLimited => "rate_limited",
            Reason::NoReplica => "no_replica",
            Reason::SnapshotNotHeld => "snapshot_not_held",
            Reason::PartitioningUnknown => "partitioning_unknown",
            Reason::Timeout => "timeout",
            Reason::ConnectionDied => "connection_died",
            Reason::Mismatch => "mismatch",
            Reason::UnusableAnswer => "unusable_answer",
            Reason::UpstreamError => "upstream_error",
            Reason::Misdirected => "misdirected",
            Reason::CallerLeft => "caller_left",
            Reason::Revoked => "revoked",
            Reason::Quarantined => "quarantined",
            Reason::OwnerUnreachable => "owner_unreachable",
        }
    }

    /// Returns the reason with the given name.
    pub fn find(name: &str) -> Option<Self> {
        serde_json::from_value(serde_json::Value::from(name)).ok()
    }
}

/// A sub-request that has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{} (ran: {ran:?})", reason.name()))]
pub struct Failure {
    /// Why there is no answer.
    pub reason: Reason,
    /// Whether the sub-request ran.
    pub ran: Ran,
    /// Time after which to retry; zero if there is none.
    pub retry_after: Millis,
}

impl Failure {
    /// Returns a failure of a sub-request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: Millis::ZERO,
        }
    }

    /// Whether the sub-request was not sent to any replica.
    pub fn is_unsent(&self) -> bool {
        self.ran == Ran::No && self.reason == Reason::NoReplica
    }

    /// Returns a failure of a sub-request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: Millis::ZERO,
        }
    }
}
