//! A request, independent of its wire format.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use clock::Millis;

use crate::attempts_made::AttemptsMade;
use crate::message::{DataVersion, Message};
use crate::upstream::UpstreamKey;

/// A sub-request that takes longer than this quantile of the latency is hedged.
pub(crate) const HEDGE_QUANTILE: f64 = 0.95;

/// A request, the same for all shards.
#[derive(Clone)]
pub struct Call {
    /// The request in its wire format.
    pub message: Rc<dyn Message>,
    /// The data version that an upstream must hold, or `None` if any will do.
    pub version: Option<DataVersion>,
    /// Digest of the caller's request; repeats of a request have the same.
    pub fingerprint: u64,
    /// Rank in the queue; 0 goes first.
    pub priority: u8,
    /// Time by which the answer must have arrived.
    pub deadline: Millis,
    /// Time until which it may wait for the rate limits of upstreams.
    pub rate_by: Millis,
    /// Random number from 0 to 1 that decides whether a share of less than one request
    /// is used. It is the same for all shards, so that a search gets all of them or
    /// is refused before any of them runs it.
    pub draw: f64,
    /// Whether the caller has disconnected; a request that
    /// [`crate::Pool::dispatch`] has not sent yet is then never sent.
    pub caller_left: Rc<Cell<bool>>,
    /// Whether an upstream may have run the request.
    pub may_have_run: Rc<Cell<bool>>,
    /// Whether the request may still be sent.
    pub permission: Rc<dyn Permission>,
    /// Workspace of the caller, if callers have one.
    pub workspace: Option<Rc<str>>,
    /// The attempts so far, also those of daemons that handed the request over.
    pub attempts: Rc<RefCell<AttemptsMade>>,
    /// Limits for attempts, hedges and retries.
    pub policy: RetryPolicy,
}

/// Whether a request may still be sent: what allowed it can be withdrawn while it waits.
pub trait Permission {
    /// Whether it may be sent now.
    fn is_valid(&self) -> bool;
}

/// A permission that is not withdrawn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Permanent;

impl Permission for Permanent {
    fn is_valid(&self) -> bool {
        true
    }
}

/// How many attempts and how much extra load a request may cause.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Maximum number of attempts for each shard, hedges included; one that found
    /// the connection refused or closed was not sent and does not count.
    pub attempts: usize,
    /// Hedges per hundred sub-requests.
    pub hedge_percent: u8,
    /// Retries per hundred sub-requests.
    pub retry_percent: u8,
    /// Whether to wait until the deadline for a replica to become available if
    /// none is.
    pub awaits_replicas: bool,
    /// Longest delay before a hedge, if set; the measured latency may shorten
    /// it.
    pub hedge_within: Option<Millis>,
}

/// The replicas that one sub-request may be sent to.
pub trait Shard {
    /// Name of the shard.
    fn name(&self) -> &str;

    /// Returns the current replicas.
    fn replicas(&self) -> Vec<UpstreamKey>;
}
