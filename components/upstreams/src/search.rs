//! One sub-request of a search: the choice of replica, hedges and retries.

use std::rc::Rc;

use clock::Millis;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use telemetry::names;

use crate::attempt;
use crate::call::{Call, HEDGE_QUANTILE, Shard};
use crate::crashes::CrashStatus;
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::Answer;
use crate::placing::AcquireError;
use crate::pool::Pool;
use crate::queue::Ask;
use crate::slot::Slot;
use crate::upstream::UpstreamKey;

const MIN_HEDGE_DELAY: Millis = Millis(3);
/// A hedge that got no token or no slot is tried again after this time, and
/// after twice as long each further time.
const HEDGE_RETRY: Millis = Millis(10);
const RETRY_PAUSE: Millis = Millis(20);

/// What a race between attempts waits for.
enum Step {
    /// An attempt ended.
    Finished(UpstreamKey, Result<Answer>),
    /// There is a slot for a hedge.
    Granted(Slot),
    /// The deadline passed.
    Late,
}

/// Runs one sub-request on a shard.
pub(crate) struct ShardSearch<'a> {
    pool: &'a Rc<Pool>,
    shard: &'a dyn Shard,
    call: &'a Call,
    tried: Vec<UpstreamKey>,
    attempts: usize,
    last: Failure,
    ran: Ran,
}

impl<'a> ShardSearch<'a> {
    pub(crate) fn new(pool: &'a Rc<Pool>, shard: &'a dyn Shard, call: &'a Call) -> Self {
        let last = Failure::not_run(Reason::NoReplica);
        Self {
            pool,
            shard,
            call,
            tried: Vec::new(),
            attempts: 0,
            last,
            ran: Ran::No,
        }
    }

    /// Runs until a replica answers, or none can in time.
    pub(crate) async fn run(mut self) -> Result<Answer> {
        self.pool.retries.earn(self.call.policy.retry_percent);
        self.pool.hedges.earn(self.call.policy.hedge_percent);
        metrics::counter!(names::SUBREQUESTS_TOTAL).increment(1);
        let suspects = &self.pool.shared.crashes;
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

    /// The replicas that take work, hold the version and were not tried yet.
    fn candidates(&self) -> Vec<UpstreamKey> {
        let all = self.shard.replicas();
        let is_untried = |k: &UpstreamKey| !self.tried.contains(k);
        all.into_iter()
            .filter(|k| is_untried(k) && self.pool.takes_work(*k) && self.is_held(*k))
            .collect()
    }

    fn is_held(&self, key: UpstreamKey) -> bool {
        let Some(version) = &self.call.version else {
            return true;
        };
        let upstream = self.pool.find(key);
        upstream.is_some_and(|u| u.health.borrow().is_held(version))
    }

    fn ask(&self) -> Ask {
        Ask {
            candidates: self.candidates(),
            deadline: self.call.deadline,
            fingerprint: self.call.fingerprint,
            priority: self.call.priority,
        }
    }

    async fn first_slot(&self) -> Result<Slot> {
        let ask = self.ask();
        if ask.candidates.is_empty() {
            return Err(Failure::not_run(self.emptiness()));
        }
        self.pool
            .acquire(ask)
            .await
            .map_err(|refusal| match refusal {
                AcquireError::QueueFull => Failure::not_run(Reason::Overloaded),
                AcquireError::Timeout => Failure::not_run(Reason::Timeout),
                AcquireError::NoReplica => Failure::not_run(Reason::NoReplica),
            })
    }

    /// Why there is no candidate.
    fn emptiness(&self) -> Reason {
        let mut replicas = self.shard.replicas().into_iter();
        let is_held = replicas.any(|k| self.is_held(k));
        match self.call.version {
            Some(_) if !is_held => Reason::SnapshotNotHeld,
            _ => Reason::NoReplica,
        }
    }

    /// Runs an attempt and, if it takes long, a hedge beside it.
    async fn race(&mut self, slot: Slot) -> Result<Answer> {
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
        if ask.candidates.is_empty() || self.attempts >= self.call.policy.attempts {
            return None;
        }
        let (pool, delay) = (self.pool, self.hedge_delay());
        Some(Box::pin(async move {
            compio::time::sleep(delay.into()).await;
            let mut pause = HEDGE_RETRY;
            loop {
                let granted = match pool.is_overloaded() || !pool.hedges.has_token() {
                    true => None,
                    false => pool.acquire(ask.clone()).await.ok(),
                };
                match granted {
                    Some(slot) => return Step::Granted(slot),
                    None => compio::time::sleep(pause.into()).await,
                }
                pause = pause + pause;
            }
        }))
    }

    fn may_hedge(&self) -> bool {
        let suspects = &self.pool.shared.crashes;
        let verdict = suspects.status(self.call.fingerprint, Millis::now());
        verdict == CrashStatus::Clear && self.pool.hedges.spend()
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
        let (pool, call, shard) = (self.pool, self.call, self.shard);
        self.tried.push(slot.key);
        self.attempts += 1;
        Box::pin(async move {
            let result = attempt::run(&slot, pool, call, shard.name()).await;
            Step::Finished(slot.key, result)
        })
    }

    fn hedge_delay(&self) -> Millis {
        let learned = self.pool.latency.borrow().quantile(HEDGE_QUANTILE);
        let left = self.call.deadline.since(Millis::now());
        let unlearned = Millis(left.0 / 4);
        let delay = learned.unwrap_or(unlearned).max(MIN_HEDGE_DELAY);
        self.call
            .policy
            .hedge_within
            .map_or(delay, |limit| delay.min(limit))
    }

    /// Whether another attempt is worth it and paid for. What was never sent
    /// to an upstream costs nothing.
    fn may_retry(&mut self, failure: &Failure) -> bool {
        let limit = self.call.policy.attempts;
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
        !self.candidates().is_empty() || self.call.policy.awaits_replicas
    }

    async fn pause(&self) {
        compio::time::sleep(RETRY_PAUSE.into()).await;
    }
}
