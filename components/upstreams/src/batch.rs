//! The sub-requests of one search that this daemon runs, one for each shard.

use catalog::Topology;
use clock::Millis;
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::call::Call;
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::Answer;
use crate::search::ShardSearch;
use crate::service::{DeclaredShard, Service};
use crate::upstream::UpstreamKey;

// Largest share of the expected wait that is added at random, so that callers
// refused at the same time don't retry at the same time.
const RETRY_JITTER: f64 = 1.0;
const MIN_RETRY_AFTER_MS: f64 = 20.0;

impl Service {
    /// Searches `shards` and returns one result for each, in their order.
    ///
    /// # Errors
    ///
    /// Refuses the whole batch before anything is sent if the request is
    /// quarantined, the queue is full or the deadline can't be met.
    pub async fn search(
        &self,
        topology: &Topology,
        call: &Call,
        shards: &[usize],
    ) -> Result<Vec<Result<Answer>>> {
        self.admit(topology, call, shards)?;
        let mut results: Vec<Option<Result<Answer>>> = vec![None; shards.len()];
        let declared: Vec<DeclaredShard<'_>> =
            shards.iter().map(|&s| self.declared(topology, s)).collect();
        let mut running: FuturesUnordered<_> = declared
            .iter()
            .enumerate()
            .map(|(i, shard)| {
                let search = ShardSearch::new(self, shard, call);
                async move { (i, search.run().await) }
            })
            .collect();
        let mut quarantined = Box::pin(self.shared.crashes.watch(call.fingerprint));
        while let Either::Left((Some((i, result)), rest)) =
            select(running.next(), quarantined).await
        {
            results[i] = Some(result);
            quarantined = rest;
        }
        // Cancels the remaining sub-requests of a request that was quarantined.
        drop(running);
        let cancelled = || Err(self.cancelled(call));
        Ok(results
            .into_iter()
            .map(|r| r.unwrap_or_else(cancelled))
            .collect())
    }

    /// Runs a booking on one replica of a shard; see [`crate::Pool::dispatch`].
    ///
    /// # Errors
    ///
    /// The failure states whether the booking ran; it ran at most once.
    pub async fn book(&self, topology: &Topology, call: &Call, shard: usize) -> Result<Answer> {
        self.dispatch(&self.declared(topology, shard), call).await
    }

    fn declared<'a>(&'a self, topology: &'a Topology, index: usize) -> DeclaredShard<'a> {
        DeclaredShard {
            service: self,
            topology,
            index,
        }
    }

    /// Returns the failure of a sub-request that was cancelled because its
    /// request was quarantined.
    fn cancelled(&self, call: &Call) -> Failure {
        let failure = self
            .shared
            .crashes
            .quarantine_failure(call.fingerprint, Millis::now());
        Failure {
            ran: Ran::Unknown,
            ..failure.unwrap_or_else(|| Failure::not_run(Reason::Quarantined))
        }
    }

    fn admit(&self, topology: &Topology, call: &Call, shards: &[usize]) -> Result<()> {
        let now = Millis::now();
        if let Some(failure) = self
            .shared
            .crashes
            .quarantine_failure(call.fingerprint, now)
        {
            return Err(failure);
        }
        let candidates = self.shard_replicas(topology, shards);
        let wait = self.expected_wait(&candidates, shards.len());
        let needed = wait + self.latency.borrow().mean_ms();
        let is_full = self.queue.len() + shards.len() > self.queue_limit.get() + candidates.len();
        if is_full || needed > call.deadline.since(now).0 as f64 {
            return Err(Failure {
                retry_after: jittered_wait(wait),
                ..Failure::not_run(Reason::Overloaded)
            });
        }
        Ok(())
    }

    /// Returns the replicas of the shards without duplicates.
    fn shard_replicas(&self, topology: &Topology, shards: &[usize]) -> Vec<UpstreamKey> {
        let mut keys: Vec<UpstreamKey> = shards
            .iter()
            .flat_map(|&s| self.replicas(topology, s))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }

    /// Returns how long a new sub-request to one of the shards would wait for a
    /// slot.
    pub fn shard_wait(&self, topology: &Topology, shards: &[usize]) -> Millis {
        let candidates = self.shard_replicas(topology, shards);
        Millis(self.expected_wait(&candidates, 1) as u64)
    }
}

/// Returns the time after which a refused caller may retry: the expected wait
/// with random jitter added.
pub fn jittered_wait(wait_ms: f64) -> Millis {
    let base = wait_ms.max(MIN_RETRY_AFTER_MS);
    let factor = 1.0 + RETRY_JITTER * rand::random::<f64>();
    Millis((base * factor).ceil() as u64)
}
