//! Dispatch of a booking: another replica is tried only if the booking is
//! known not to have run.

use std::rc::Rc;

use clock::Millis;

use crate::attempt;
use crate::call::{Call, Shard};
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::Answer;
use crate::placement::AcquireError;
use crate::pool::Pool;
use crate::queue::SlotRequest;
use crate::search::ShardSearch;
use crate::sent::Answered;

impl Pool {
    /// Runs one sub-request, with hedges and retries, on the replicas of a shard.
    ///
    /// # Errors
    ///
    /// The failure states whether the sub-request ran.
    pub async fn fetch(self: &Rc<Self>, shard: &dyn Shard, call: &Call) -> Result<Answer> {
        ShardSearch::new(self, shard, call).run().await
    }

    /// Runs a booking on one replica of a shard.
    ///
    /// # Errors
    ///
    /// The failure states whether the booking ran; it ran at most once.
    pub async fn dispatch(self: &Rc<Self>, shard: &dyn Shard, call: &Call) -> Result<Answer> {
        let mut candidates = shard.replicas();
        let mut last = Failure::not_run(Reason::NoReplica);
        let mut attempts = 0;
        let answered = Answered::default();
        self.retries.earn(call.policy.retry_percent);
        self.hedges.earn(call.policy.hedge_percent);
        while !candidates.is_empty() {
            if attempts > 0 && !(attempts < call.policy.attempts && self.retries.spend()) {
                return Err(last);
            }
            let checked = self
                .shared
                .check_quarantine(call.fingerprint, call.deadline);
            checked.await?;
            let request = SlotRequest::new(call, candidates.clone());
            let acquired = self.acquire(request).await;
            let slot = acquired.map_err(|error| {
                self.log_unqueued(call, error);
                match error {
                    AcquireError::NoReplica => last.clone(),
                    AcquireError::RateLimited => Failure::not_run(Reason::RateLimited),
                    AcquireError::Displaced => Failure::not_run(Reason::Displaced),
                    AcquireError::QueueFull | AcquireError::Timeout => {
                        Failure::not_run(Reason::Overloaded)
                    }
                }
            })?;
            let left = call.deadline.since(Millis::now());
            let running = attempt::run(&slot, self, call, shard.name(), &answered);
            match compio::time::timeout(left.into(), running).await {
                Ok(Err(failure)) if failure.reason == Reason::Revoked => return Err(failure),
                Ok(Err(failure)) if failure.ran == Ran::No && !call.caller_left.get() => {
                    call.may_have_run.set(false);
                    attempts += usize::from(!failure.is_unsent());
                    last = failure;
                }
                Ok(result) => return result,
                // It may have waited for a connection all the time.
                Err(_) if !call.may_have_run.get() => {
                    return Err(Failure::not_run(Reason::Timeout));
                }
                Err(_) => return Err(Failure::unknown(Reason::Timeout)),
            }
            candidates.retain(|k| *k != slot.key);
        }
        Err(last)
    }
}
