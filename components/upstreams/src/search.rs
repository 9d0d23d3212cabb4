//! One sub-request of a search: the choice of replica, hedges and retries.

use std::rc::Rc;

use bytes::Bytes;
use catalog::{Objective, Topology};
use clock::Millis;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use telemetry::names;

use crate::attempt;
use crate::failure::{Failure, Ran, Reason, Result};
use crate::pool::Pool;
use crate::queue::{Ask, Refusal, Slot};
use crate::suspects::Verdict;
use crate::upstream::UpstreamKey;

/// Sub-requests that take longer than this share of them are hedged.
pub(crate) const HEDGE_QUANTILE: f64 = 0.95;
const MIN_HEDGE_DELAY: Millis = Millis(3);
const HEDGE_RETRY: Millis = Millis(3);
const LATENCY_ATTEMPTS: usize = 3;
const COVERAGE_ATTEMPTS: usize = 6;
const RETRY_PAUSE: Millis = Millis(20);

/// The rows of one shard, as the upstream encoded them.
pub type Rows = Bytes;

/// A request as it is sent to upstreams, the same for all shards.
#[derive(Clone, Debug)]
pub struct Call {
    /// Unique identifier that answers must repeat.
    pub request_id: String,
    /// Label of the shard map.
    pub partitioning: String,
    /// Number of the snapshot; not used by bookings.
    pub snapshot: u64,
    /// Idempotency key of a booking.
    pub key: Option<String>,
    /// Digest of what the caller sent.
    pub fingerprint: u64,
    /// Time by which the answer must be there.
    pub deadline: Millis,
    /// The caller's body.
    pub body: Bytes,
}

/// What a race between attempts waits for.
enum Step {
    /// An attempt ended.
    Finished(UpstreamKey, Result<Rows>),
    /// There is a slot for a hedge.
    Granted(Slot),
    /// The deadline passed.
    Late,
}

/// Runs one sub-request on a shard.
pub(crate) struct ShardSearch<'a> {
    pool: &'a Rc<Pool>,
    topology: &'a Topology,
    call: &'a Call,
    shard: usize,
    tried: Vec<UpstreamKey>,
    attempts: usize,
    last: Failure,
    ran: Ran,
}

impl<'a> ShardSearch<'a> {
    pub(crate) fn new(
        pool: &'a Rc<Pool>,
        topology: &'a Topology,
        call: &'a Call,
        shard: usize,
    ) -> Self {
        let last = Failure::not_run(Reason::NoReplica);
        Self {
            pool,
            topology,
            call,
            shard,
            tried: Vec::new(),
            attempts: 0,
            last,
            ran: Ran::No,
        }
    }

    /// Runs until a replica answers, or none can in time.
    pub(crate) async fn run(mut self) -> Result<Rows> {
        self.pool.retries.earn(self.topology.service.retry_percent);
        self.pool.hedges.earn(self.topology.service.hedge_percent);
        metrics::counter!(names::SUBREQUESTS_TOTAL).increment(1);
        let suspects = &self.pool.shared.suspects;
        loop {
            let now = Millis::now();
            if let Some(refusal) = suspects.refusal(self.call.fingerprint, now) {
                return Err(Failure {
                    ran: self.ran,
                    ..refusal
                });
            }
            let failure = match self.first_slot().await {
                Ok(slot) => match self.race(slot).await {
                    Ok(rows) => return Ok(rows),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            self.note(&failure);
            if !self.may_retry(&failure) {
                return Err(Failure {
                    ran: self.ran,
                    ..self.last
                });
            }
            if self.candidates().is_empty() {
                self.pause().await;
                self.tried.clear();
            }
        }
    }

    fn note(&mut self, failure: &Failure) {
        self.ran = self.ran.max(failure.ran);
        self.last = failure.clone();
    }

    /// The replicas that hold the snapshot and were not tried yet.
    fn candidates(&self) -> Vec<UpstreamKey> {
        let all = self.pool.replicas(self.topology, self.shard);
        let is_untried = |k: &UpstreamKey| !self.tried.contains(k);
        all.into_iter()
            .filter(|k| is_untried(k) && self.is_held(*k))
            .collect()
    }

    fn is_held(&self, key: UpstreamKey) -> bool {
        let upstream = self.pool.find(key);
        upstream.is_some_and(|u| {
            u.health
                .borrow()
                .is_held(&self.call.partitioning, self.call.snapshot)
        })
    }

    fn ask(&self) -> Ask {
        Ask {
            candidates: self.candidates(),
            deadline: self.call.deadline,
            fingerprint: self.call.fingerprint,
        }
    }

    async fn first_slot(&self) -> Result<Slot> {
        let ask = self.ask();
        if ask.candidates.is_empty() {
            let replicas = self.pool.replicas(self.topology, self.shard);
            let is_held = replicas.iter().any(|&k| self.is_held(k));
            let reason = if is_held {
                Reason::NoReplica
            } else {
                Reason::SnapshotNotHeld
            };
            return Err(Failure::not_run(reason));
        }
        self.pool
            .acquire(ask)
            .await
            .map_err(|refusal| match refusal {
                Refusal::Full => Failure::not_run(Reason::Overloaded),
                Refusal::Late => Failure::not_run(Reason::Timeout),
                Refusal::NoReplica => Failure::not_run(Reason::NoReplica),
            })
    }

    /// Runs an attempt and, if it takes long, a hedge beside it.
    async fn race(&mut self, slot: Slot) -> Result<Rows> {
        let mut steps: FuturesUnordered<LocalBoxFuture<'a, Step>> = FuturesUnordered::new();
        let mut running = 1;
        steps.push(self.start(slot));
        steps.push(self.expire());
        steps.extend(self.wait_to_hedge());
        loop {
            match steps.select_next_some().await {
                Step::Finished(_, Ok(rows)) => return Ok(rows),
                Step::Finished(key, Err(failure)) => {
                    self.note_attempt(key, &failure);
                    running -= 1;
                    if running == 0 {
                        return Err(failure);
                    }
                    self.note(&failure);
                }
                Step::Granted(slot) if self.may_hedge() => {
                    running += 1;
                    metrics::counter!(names::HEDGES_TOTAL).increment(1);
                    steps.push(self.start(slot));
                }
                Step::Granted(_) => {}
                Step::Late => return Err(Failure::unknown(Reason::Timeout)),
            }
        }
    }

    fn expire(&self) -> LocalBoxFuture<'a, Step> {
        let left = self.call.deadline.since(Millis::now());
        Box::pin(async move {
            compio::time::sleep(left.into()).await;
            Step::Late
        })
    }

    /// Waits until a hedge is due, and then in the queue for a slot: the
    /// oldest request gets the first free one, so that stragglers on all
    /// slots don't keep each other from being hedged.
    fn wait_to_hedge(&self) -> Option<LocalBoxFuture<'a, Step>> {
        let ask = self.ask();
        if ask.candidates.is_empty() {
            return None;
        }
        let (pool, delay) = (self.pool, self.hedge_delay());
        Some(Box::pin(async move {
            compio::time::sleep(delay.into()).await;
            loop {
                let granted = match pool.is_overloaded() || !pool.hedges.has_token() {
                    true => None,
                    false => pool.acquire(ask.clone()).await.ok(),
                };
                match granted {
                    Some(slot) => return Step::Granted(slot),
                    None => compio::time::sleep(HEDGE_RETRY.into()).await,
                }
            }
        }))
    }

    fn may_hedge(&self) -> bool {
        let suspects = &self.pool.shared.suspects;
        let verdict = suspects.verdict(self.call.fingerprint, Millis::now());
        verdict == Verdict::Clear && self.pool.hedges.spend()
    }

    /// An attempt that did not reach its replica costs nothing, and the
    /// replica may be tried again if only the connection was stale.
    fn note_attempt(&mut self, key: UpstreamKey, failure: &Failure) {
        if !failure.is_unsent() {
            return;
        }
        self.attempts -= 1;
        let upstream = self.pool.find(key);
        if upstream.is_some_and(|u| !u.health.borrow().is_failing()) {
            self.tried.retain(|k| *k != key);
        }
    }

    fn start(&mut self, slot: Slot) -> LocalBoxFuture<'a, Step> {
        let (pool, call) = (self.pool, self.call);
        let shard = &self.topology.service.shards[self.shard].name;
        self.tried.push(slot.key);
        self.attempts += 1;
        Box::pin(async move {
            let result = attempt::run(&slot, pool, call, shard).await;
            Step::Finished(slot.key, result)
        })
    }

    fn hedge_delay(&self) -> Millis {
        let learned = self.pool.latency.borrow().quantile(HEDGE_QUANTILE);
        let left = self.call.deadline.since(Millis::now());
        let unlearned = Millis(left.0 / 4);
        learned.unwrap_or(unlearned).max(MIN_HEDGE_DELAY)
    }

    /// Whether another attempt is worth it and paid for. What was never sent
    /// to an upstream costs nothing.
    fn may_retry(&mut self, failure: &Failure) -> bool {
        let limit = match self.topology.service.objective {
            Objective::Latency => LATENCY_ATTEMPTS,
            Objective::Coverage => COVERAGE_ATTEMPTS,
        };
        let has_time = Millis::now() + RETRY_PAUSE < self.call.deadline;
        let is_final =
            matches!(failure.reason, Reason::SnapshotNotHeld if self.candidates().is_empty());
        if is_final || !has_time || self.attempts >= limit {
            return false;
        }
        match failure.reason {
            _ if failure.is_unsent() => self.waits_for_replicas(),
            Reason::SnapshotNotHeld => true,
            Reason::Overloaded if self.attempts == 0 => false,
            _ => {
                let is_paid = self.pool.retries.spend();
                if is_paid {
                    metrics::counter!(names::RETRIES_TOTAL).increment(1);
                }
                is_paid
            }
        }
    }

    /// With other replicas left, or where coverage goes before latency.
    fn waits_for_replicas(&self) -> bool {
        !self.candidates().is_empty() || self.topology.service.objective == Objective::Coverage
    }

    async fn pause(&self) {
        compio::time::sleep(RETRY_PAUSE.into()).await;
    }
}
