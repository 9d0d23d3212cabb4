//! Group commit: all requests that arrive while a bucket is being written go
//! into its next write.

use std::rc::Rc;

use clock::Millis;
use slog::info;
use store::Swap;
use telemetry::names;

use crate::bucket::Bucket;
use crate::epoch::Epoch;
use crate::queue::{CachedBucket, Ledger, Pending};
use crate::verdict::Verdict;

const RETRY_PAUSE: Millis = Millis(50);

impl Ledger {
    /// Commits the batches of a bucket until no request is pending.
    pub(crate) async fn run(self: &Rc<Self>, bucket: &str) {
        loop {
            let mut batch = self.take_batch(bucket);
            if batch.is_empty() {
                return;
            }
            // They waited for a call that failed.
            if self.is_out.get() {
                refuse_claims(&mut batch);
            }
            self.commit(bucket, batch).await;
        }
    }

    fn take_batch(&self, bucket: &str) -> Vec<Pending> {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(bucket) else {
            return Vec::new();
        };
        let batch = std::mem::take(&mut queue.pending);
        queue.is_running = !batch.is_empty();
        batch
    }

    /// Commits a batch. Requests past their deadline are dropped; their
    /// submitters get [`Verdict::Unavailable`].
    async fn commit(self: &Rc<Self>, key: &str, mut batch: Vec<Pending>) {
        loop {
            batch.retain(|p| p.request.deadline > Millis::now() && !p.sender.is_canceled());
            if batch.is_empty() {
                return;
            }
            let loaded = self.load_bucket(key).await;
            let Some((epoch, old)) = loaded else {
                refuse_claims(&mut batch);
                compio::time::sleep(RETRY_PAUSE.into()).await;
                continue;
            };
            if self.is_over(&epoch) {
                continue;
            }
            let (new, verdicts) = apply_batch(&old.bucket, &epoch, &batch);
            // A release is always written: with the new version, a write in
            // flight that holds a claim of the same attempt fails with a conflict.
            let is_release = batch.iter().any(|p| p.request.release);
            let is_read_only = new.claims == old.bucket.claims && !is_release;
            if is_read_only || self.write(key, &epoch, old.version, new).await {
                return send_verdicts(batch, verdicts);
            }
        }
    }

    /// Returns a bucket with the epoch in which it was read.
    async fn load_bucket(self: &Rc<Self>, key: &str) -> Option<(Epoch, CachedBucket)> {
        let Some(epoch) = self.load_epoch().await else {
            self.record_outage();
            info!(self.log, "epoch of the store not known"; "bucket" => key);
            return None;
        };
        let cached = self.queues.borrow().get(key).and_then(|q| q.cached.clone());
        if let Some(cached) = cached.filter(|c| c.epoch == epoch.number) {
            return Some((epoch, cached));
        }
        let entry = match self.store.get(&epoch.bucket_key(key)).await {
            Ok(entry) => entry,
            Err(e) => {
                self.record_outage();
                info!(self.log, "ledger not read"; "bucket" => key, "error" => %e);
                return None;
            }
        };
        let (version, bucket) = match entry {
            None => (0, Bucket::default()),
            Some(entry) => match serde_json::from_str(&entry.value) {
                Ok(bucket) => (entry.version, bucket),
                Err(e) => {
                    slog::error!(self.log, "ledger value is malformed"; "bucket" => key, "error" => %e);
                    return None;
                }
            },
        };
        let read = CachedBucket {
            epoch: epoch.number,
            version,
            bucket,
        };
        self.cache(key, Some(read.clone()));
        Some((epoch, read))
    }

    fn cache(&self, key: &str, value: Option<CachedBucket>) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.cached = value;
        }
    }

    /// Writes a bucket; returns `false` if the batch must be retried. This also
    /// covers a write whose reply was lost: the retry recognizes the written
    /// claims by their nonces. A write that was answered in a later epoch is lost.
    async fn write(
        self: &Rc<Self>,
        key: &str,
        epoch: &Epoch,
        version: u64,
        bucket: Bucket,
    ) -> bool {
        let wait = self.pacer.reserve((self.daemon_count)(), Millis::now());
        compio::time::sleep(wait.into()).await;
        let Ok(json) = serde_json::to_string(&bucket) else {
            return false;
        };
        metrics::counter!(names::LEDGER_WRITES_TOTAL).increment(1);
        match self
            .store
            .swap(&epoch.bucket_key(key), version, &json)
            .await
        {
            Ok(Swap::Written(version)) if !self.is_over(epoch) => {
                let written = CachedBucket {
                    epoch: epoch.number,
                    version,
                    bucket,
                };
                self.cache(key, Some(written));
                true
            }
            Ok(Swap::Written(_) | Swap::Conflict) => {
                self.cache(key, None);
                false
            }
            Err(e) => {
                self.record_outage();
                info!(self.log, "ledger write not confirmed"; "bucket" => key, "error" => %e);
                self.cache(key, None);
                compio::time::sleep(RETRY_PAUSE.into()).await;
                false
            }
        }
    }
}

/// Fails the claims of a batch that can't be written now; releases stay.
fn refuse_claims(batch: &mut Vec<Pending>) {
    let (releases, claims) = batch.drain(..).partition(|p| p.request.release);
    *batch = releases;
    let verdicts = vec![Verdict::Unavailable; claims.len()];
    send_verdicts(claims, verdicts);
}

fn apply_batch(old: &Bucket, epoch: &Epoch, batch: &[Pending]) -> (Bucket, Vec<Verdict>) {
    let now = Millis::wall();
    let mut new = old.clone();
    if let Some(first) = batch.first() {
        new.advance(now, first.request.retention);
    }
    let verdicts = batch.iter().map(|p| {
        let r = &p.request;
        if r.release {
            new.release(&r.key, &r.nonce);
            return Verdict::Released;
        }
        if r.key.time < epoch.floor {
            return Verdict::ClaimLost;
        }
        new.claim(&r.key, &r.nonce, &r.claimer, now)
    });
    let verdicts = verdicts.collect();
    (new, verdicts)
}

fn send_verdicts(batch: Vec<Pending>, verdicts: Vec<Verdict>) {
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        if verdict == Verdict::Claimed {
            metrics::counter!(names::LEDGER_CLAIMS_TOTAL).increment(1);
        }
        // A submitter that timed out releases its claim itself.
        let _ = pending.sender.send(verdict);
    }
}
