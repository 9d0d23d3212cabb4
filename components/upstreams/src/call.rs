//! A request as the engine runs it, whatever wire it is sent on.

use std::cell::Cell;
use std::rc::Rc;

use clock::Millis;

use crate::message::{DataVersion, Message};
use crate::upstream::UpstreamKey;

/// Sub-requests that take longer than this share of them are hedged.
pub(crate) const HEDGE_QUANTILE: f64 = 0.95;

/// A request, the same for all shards.
#[derive(Clone)]
pub struct Call {
    /// The request in the terms of its wire.
    pub message: Rc<dyn Message>,
    /// The version that an upstream must hold, if it matters.
    pub version: Option<DataVersion>,
    /// Digest of what the caller sent.
    pub fingerprint: u64,
    /// Rank in the queue; 0 goes first.
    pub priority: u8,
    /// Time by which the answer must be there.
    pub deadline: Millis,
    /// Whether the caller is gone; what was not sent then never is.
    pub caller_left: Rc<Cell<bool>>,
    /// How hard to try.
    pub policy: RetryPolicy,
}

/// How many attempts and how much extra load a request may cause.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Attempts for each shard, hedges included.
    pub attempts: usize,
    /// Hedges per hundred sub-requests.
    pub hedge_percent: u8,
    /// Retries per hundred sub-requests.
    pub retry_percent: u8,
    /// Whether to wait for replicas to come back while none takes work.
    pub awaits_replicas: bool,
    /// When to hedge at the latest, if this is known; otherwise after the
    /// learned latency.
    pub hedge_within: Option<Millis>,
}

/// The replicas that one sub-request may be sent to.
pub trait Shard {
    /// Name of the shard.
    fn name(&self) -> &str;

    /// Returns the replicas as they are now.
    fn replicas(&self) -> Vec<UpstreamKey>;
}
