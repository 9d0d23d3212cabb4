//! One sub-request of a search: choice of the replica, hedges and retries.

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
use crate::placement::AcquireError;
use crate::pool::Pool;
use crate::queue::SlotRequest;
use crate::sent::Answered;
use crate::slot::Slot;
use crate::upstream::UpstreamKey;

const MIN_HEDGE_DELAY: Millis = Millis(3);
/// Delay before a hedge that got no token or no slot is tried again; it doubles
/// each time.
const HEDGE_RETRY_DELAY: Millis = Millis(10);
const RETRY_DELAY: Millis = Millis(20);

/// An event that a race between attempts waits for.
enum Event {
    /// An attempt ended.
    Finished(UpstreamKey, Result<Answer>),
    /// A slot for a hedge was granted.
    Granted(Slot),
    /// The deadline passed.
    Timeout,
}

/// Runs one sub-request on a shard.
pub(crate) struct ShardSearch<'a> {
    pool: &'a Rc<Pool>,
    shard: &'a dyn Shard,
    call: &'a Call,
    tried: Vec<UpstreamKey>,
    /// Attempts so far, also those of other daemons, without those that were not sent.
    attempts: usize,
    last: Failure,
    ran: Ran,
    answered: Answered,
}

impl<'a> ShardSearch<'a> {
    pub(crate) fn new(pool: &'a Rc<Pool>, shard: &'a dyn Shard, call: &'a Call) -> Self {
        let last = Failure::not_run(Reason::NoReplica);
        let attempts = call.attempts.borrow().on(shard.name());
        Self {
            pool,
            shard,
            call,
            tried: Vec::new(),
            attempts,
            last,
            ran: Ran::No,
            answered: Answered::default(),
        }
    }

    /// Runs until a replica answers, or no further attempt is made.
    pub(crate) async fn run(mut self) -> Result<Answer> {
        self.pool.retries.earn(self.call.policy.retry_percent);
        self.pool.hedges.earn(self.call.policy.hedge_percent);
        metrics::counter!(names::SUBREQUESTS_TOTAL).increment(1);
        if self.attempts >= self.call.policy.attempts {
            // Other daemons made them, and their outcomes are unknown.
            return Err(Failure::unknown(Reason::Timeout));
        }
        let shared = &self.pool.shared;
        loop {
            let checked = shared.check_quarantine(self.call.fingerprint, self.call.deadline);
            if let Err(failure) = checked.await {
                return Err(Failure {
                    ran: self.ran,
                    ..failure
                });
            }
            let failure = match self.first_slot().await {
                Ok(slot) => match self.race(slot).await {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            self.record_failure(&failure);
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

    fn record_failure(&mut self, failure: &Failure) {
        self.ran = self.ran.max(failure.ran);
        self.last = failure.clone();
    }

    /// Returns the replicas that are available, hold the version and were not
    /// tried yet.
    fn candidates(&self) -> Vec<UpstreamKey> {
        let all = self.shard.replicas();
        let is_untried = |k: &UpstreamKey| !self.tried.contains(k);
        all.into_iter()
            .filter(|k| is_untried(k) && self.pool.is_available(*k) && self.is_held(*k))
            .collect()
    }

    fn is_held(&self, key: UpstreamKey) -> bool {
        let Some(version) = &self.call.version else {
            return true;
        };
        let upstream = self.pool.find(key);
        upstream.is_some_and(|u| u.health.borrow().is_held(version))
    }

    fn slot_request(&self) -> SlotRequest {
        SlotRequest::new(self.call, self.candidates())
    }

    async fn first_slot(&self) -> Result<Slot> {
        let request = self.slot_request();
        if request.candidates.is_empty() {
            return Err(Failure::not_run(self.no_candidate_reason()));
        }
        self.pool.acquire(request).await.map_err(|error| {
            self.pool.log_unqueued(self.call, error);
            Failure::not_run(match error {
                AcquireError::QueueFull => Reason::Overloaded,
                AcquireError::Displaced => Reason::Displaced,
                AcquireError::Timeout => Reason::Timeout,
                AcquireError::NoReplica => Reason::NoReplica,
                AcquireError::RateLimited => Reason::RateLimited,
            })
        })
    }

    /// Returns why there is no candidate.
    fn no_candidate_reason(&self) -> Reason {
        let mut replicas = self.shard.replicas().into_iter();
        let is_held = replicas.any(|k| self.is_held(k));
        match self.call.version {
            Some(_) if !is_held => Reason::SnapshotNotHeld,
            _ => Reason::NoReplica,
        }
    }

    /// Runs an attempt and, if it takes long, a concurrent hedge.
    async fn race(&mut self, slot: Slot) -> Result<Answer> {
        let mut events: FuturesUnordered<LocalBoxFuture<'a, Event>> = FuturesUnordered::new();
        let mut running = 1;
        events.push(self.start(slot));
        events.push(self.wait_for_deadline());
        events.extend(self.wait_to_hedge());
        loop {
            match events.select_next_some().await {
                Event::Finished(_, Ok(answer)) => return Ok(answer),
                Event::Finished(key, Err(failure)) => {
                    self.uncount_unsent(key, &failure);
                    running -= 1;
                    if running == 0 {
                        return Err(failure);
                    }
                    self.record_failure(&failure);
                }
                Event::Granted(slot) if self.may_hedge() => {
                    running += 1;
                    metrics::counter!(names::HEDGES_TOTAL).increment(1);
                    events.push(self.start(slot));
                }
                Event::Granted(_) => {}
                Event::Timeout => return Err(Failure::unknown(Reason::Timeout)),
            }
        }
    }

    fn wait_for_deadline(&self) -> LocalBoxFuture<'a, Event> {
        let left = self.call.deadline.since(Millis::now());
        Box::pin(async move {
            compio::time::sleep(left.into()).await;
            Event::Timeout
        })
    }

    /// Waits until a hedge is due, and then in the queue for a slot. The queue
    /// gives the first free slot to the oldest request of equal priority, so
    /// that stragglers on all slots don't keep each other from being hedged.
    fn wait_to_hedge(&self) -> Option<LocalBoxFuture<'a, Event>> {
        let request = self.slot_request();
        if request.candidates.is_empty() || self.attempts >= self.call.policy.attempts {
            return None;
        }
        let (pool, delay) = (self.pool, self.hedge_delay());
        Some(Box::pin(async move {
            compio::time::sleep(delay.into()).await;
            let mut pause = HEDGE_RETRY_DELAY;
            loop {
                let granted = match pool.is_overloaded() || !pool.hedges.has_token() {
                    true => None,
                    false => pool.acquire(request.clone()).await.ok(),
                };
                match granted {
                    Some(slot) => return Event::Granted(slot),
                    None => compio::time::sleep(pause.into()).await,
                }
                pause = pause + pause;
            }
        }))
    }

    fn may_hedge(&self) -> bool {
        let crashes = &self.pool.shared.crashes;
        let status = crashes.status(self.call.fingerprint, Millis::now());
        status == CrashStatus::Clear && self.pool.hedges.spend()
    }

    /// Subtracts an attempt that was not sent from the count. Its replica may be
    /// tried again if it is not failing: then only an idle connection had been
    /// closed.
    fn uncount_unsent(&mut self, key: UpstreamKey, failure: &Failure) {
        if !failure.is_unsent() {
            return;
        }
        self.attempts -= 1;
        let upstream = self.pool.find(key);
        if upstream.is_some_and(|u| !u.health.borrow().is_failing()) {
            self.tried.retain(|k| *k != key);
        }
    }

    fn start(&mut self, slot: Slot) -> LocalBoxFuture<'a, Event> {
        let (pool, call, shard) = (self.pool, self.call, self.shard);
        let answered = self.answered.clone();
        self.tried.push(slot.key);
        self.attempts += 1;
        Box::pin(async move {
            let result = attempt::run(&slot, pool, call, shard.name(), &answered).await;
            Event::Finished(slot.key, result)
        })
    }

    fn hedge_delay(&self) -> Millis {
        let measured = self.pool.latency.borrow().quantile(HEDGE_QUANTILE);
        let left = self.call.deadline.since(Millis::now());
        let default = Millis(left.0 / 4);
        let delay = measured.unwrap_or(default).max(MIN_HEDGE_DELAY);
        self.call
            .policy
            .hedge_within
            .map_or(delay, |limit| delay.min(limit))
    }

    /// Whether to make another attempt. One that follows an attempt that was
    /// sent takes a token from the retry budget, unless only the snapshot was
    /// missing.
    fn may_retry(&mut self, failure: &Failure) -> bool {
        let limit = self.call.policy.attempts;
        let has_time = Millis::now() + RETRY_DELAY < self.call.deadline;
        let is_final = match failure.reason {
            Reason::Quarantined | Reason::RateLimited | Reason::Revoked | Reason::Displaced => true,
            Reason::SnapshotNotHeld => self.candidates().is_empty(),
            _ => false,
        };
        if is_final || !has_time || self.attempts >= limit {
            return false;
        }
        match failure.reason {
            _ if failure.is_unsent() => self.waits_for_replicas(),
            Reason::SnapshotNotHeld => true,
            Reason::Overloaded if self.attempts == 0 => false,
            _ => {
                let has_token = self.pool.retries.spend();
                if has_token {
                    metrics::counter!(names::RETRIES_TOTAL).increment(1);
                }
                has_token
            }
        }
    }

    /// Whether to retry an attempt that was not sent: other replicas are left, or
    /// the policy waits for replicas because coverage comes before latency.
    fn waits_for_replicas(&self) -> bool {
        !self.candidates().is_empty() || self.call.policy.awaits_replicas
    }

    async fn pause(&self) {
        compio::time::sleep(RETRY_DELAY.into()).await;
    }
}
