//! Group commit: all requests that arrive while a bucket is being written go
//! into its next write.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use serde::Serialize;
use slog::{Logger, info, warn};
use store::{Store, Swap};
use telemetry::names;

use crate::bucket::Bucket;
use crate::era::Era;
use crate::key::Key;
use crate::pace::WritePacer;
use crate::verdict::Verdict;

const RETRY_PAUSE: Millis = Millis(50);
const OUTAGE_PAUSE: Millis = Millis(500);
const RELEASE_TIMEOUT: Millis = Millis(60_000);
const PENDING_LIMIT: usize = 4_096;
const CACHED_BUCKET_LIMIT: usize = 1_024;

/// A request to claim or release a key.
#[derive(Clone, Debug)]
pub struct LedgerRequest {
    /// Name of the service.
    pub service: String,
    /// The key.
    pub key: Key,
    /// Identifies the attempt; requests with the same nonce make one claim.
    pub nonce: String,
    /// Name of the daemon that will dispatch the booking.
    pub claimer: String,
    /// How long keys of this service are kept.
    pub retention: Millis,
    /// Time after which the verdict is no longer needed.
    pub deadline: Millis,
    /// Whether to release the claim instead of making it.
    pub release: bool,
}

struct Pending {
    request: LedgerRequest,
    sender: oneshot::Sender<Verdict>,
}

#[derive(Default)]
struct Queue {
    pending: Vec<Pending>,
    is_running: bool,
    cached: Option<CachedBucket>,
}

/// A bucket as it is in the store.
#[derive(Clone)]
struct CachedBucket {
    /// Number of the store's era.
    era: u64,
    version: u64,
    bucket: Bucket,
}

/// The state of one bucket, for the state dump.
#[derive(Debug, Serialize)]
pub struct BucketView {
    /// The store's key.
    pub key: String,
    /// The cached version, or 0 if the bucket is not cached.
    pub version: u64,
    /// The number of claims at the cached version.
    pub claims: usize,
    /// The number of requests that wait for the next write.
    pub pending: usize,
}

/// A daemon's access to the ledger that all daemons share through the store.
pub struct Ledger {
    pub(crate) store: Rc<dyn Store>,
    /// The era of the store, as far as it is recorded.
    pub(crate) era: Cell<Era>,
    queues: RefCell<HashMap<String, Queue>>,
    pacer: WritePacer,
    daemon_count: Box<dyn Fn() -> usize>,
    // Until this time the store counts as unavailable and claims are refused at once.
    outage_until: Cell<Millis>,
    releases: Cell<usize>,
    failed_releases: Cell<usize>,
    pub(crate) log: Logger,
}

impl Ledger {
    /// Returns a ledger on a store; `daemon_count` returns how many daemons
    /// share it.
    pub fn new(
        store: Rc<dyn Store>,
        daemon_count: Box<dyn Fn() -> usize>,
        log: &Logger,
    ) -> Rc<Self> {
        let (queues, pacer) = (RefCell::default(), WritePacer::default());
        Rc::new(Self {
            store,
            era: Cell::default(),
            queues,
            pacer,
            daemon_count,
            outage_until: Cell::default(),
            releases: Cell::default(),
            failed_releases: Cell::default(),
            log: log.clone(),
        })
    }

    /// Claims or releases a key and returns by the request's deadline.
    pub async fn submit(self: &Rc<Self>, request: LedgerRequest) -> Verdict {
        if !request.release && Millis::now() < self.outage_until.get() {
            return Verdict::Unavailable;
        }
        let bucket = request.key.bucket(&request.service);
        let deadline = request.deadline;
        let (sender, receiver) = oneshot::channel();
        if !self.enqueue(&bucket, Pending { request, sender }) {
            return Verdict::Unavailable;
        }
        let left = deadline.since(Millis::now());
        match compio::time::timeout(left.into(), receiver).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::Unavailable,
        }
    }

    /// Releases a claim in the background after a delay, with retries for up
    /// to a minute.
    pub fn release_later(self: &Rc<Self>, request: LedgerRequest, delay: Millis) {
        let deadline = Millis::now() + delay + RELEASE_TIMEOUT;
        let request = LedgerRequest {
            release: true,
            deadline,
            ..request
        };
        let guard = ReleaseGuard::new(self.clone());
        let task = async move {
            compio::time::sleep(delay.into()).await;
            guard.ledger.release(request).await;
        };
        compio::runtime::spawn(task).detach();
    }

    /// Returns the number of claims that wait for their release.
    pub fn releases(&self) -> usize {
        self.releases.get()
    }

    /// Returns the number of claims that wait for their release or whose release
    /// failed.
    pub fn unreleased(&self) -> usize {
        self.releases.get() + self.failed_releases.get()
    }

    /// Returns the state of the buckets that this daemon has in memory.
    pub fn view(&self) -> Vec<BucketView> {
        let queues = self.queues.borrow();
        let view = queues.iter().map(|(key, q)| BucketView {
            key: key.clone(),
            version: q.cached.as_ref().map_or(0, |c| c.version),
            claims: q.cached.as_ref().map_or(0, |c| c.bucket.claims.len()),
            pending: q.pending.len(),
        });
        view.collect()
    }

    /// Releases a claim, and logs and counts it if it stays.
    async fn release(self: &Rc<Self>, request: LedgerRequest) {
        let service = request.service.clone();
        let bucket = request.key.bucket(&service);
        let verdict = self.submit(request).await;
        if verdict != Verdict::Released {
            self.failed_releases.set(self.failed_releases.get() + 1);
            warn!(self.log, "claim not released"; "bucket" => bucket, "service" => service,
                "verdict" => ?verdict);
        }
    }

    fn enqueue(self: &Rc<Self>, bucket: &str, pending: Pending) -> bool {
        let mut queues = self.queues.borrow_mut();
        if queues.len() >= CACHED_BUCKET_LIMIT {
            queues.retain(|_, q| q.is_running);
        }
        let queue = queues.entry(bucket.to_owned()).or_default();
        if queue.pending.len() >= PENDING_LIMIT {
            return false;
        }
        queue.pending.push(pending);
        if !queue.is_running {
            queue.is_running = true;
            let (ledger, bucket) = (self.clone(), bucket.to_owned());
            compio::runtime::spawn(async move { ledger.run(&bucket).await }).detach();
        }
        true
    }

    /// Commits the batches of a bucket until no request is pending.
    async fn run(&self, bucket: &str) {
        loop {
            let batch = self.take_batch(bucket);
            if batch.is_empty() {
                return;
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
    async fn commit(&self, key: &str, mut batch: Vec<Pending>) {
        loop {
            batch.retain(|p| p.request.deadline > Millis::now() && !p.sender.is_canceled());
            if batch.is_empty() {
                return;
            }
            let loaded = self.load_bucket(key).await;
            let Some((era, old)) = loaded else {
                refuse_claims(&mut batch);
                compio::time::sleep(RETRY_PAUSE.into()).await;
                continue;
            };
            if self.is_over(&era) {
                continue;
            }
            let (new, verdicts) = apply_batch(&old.bucket, &era, &batch);
            // A release is always written: with the new version, a write in
            // flight that holds a claim of the same attempt fails with a conflict.
            let is_release = batch.iter().any(|p| p.request.release);
            let is_read_only = new.claims == old.bucket.claims && !is_release;
            if is_read_only || self.write(key, &era, old.version, new).await {
                return send_verdicts(batch, verdicts);
            }
        }
    }

    /// Returns a bucket with the era in which it was read.
    async fn load_bucket(&self, key: &str) -> Option<(Era, CachedBucket)> {
        let Some(era) = self.load_era().await else {
            self.record_outage();
            info!(self.log, "era of the store not known"; "bucket" => key);
            return None;
        };
        let cached = self.queues.borrow().get(key).and_then(|q| q.cached.clone());
        if let Some(cached) = cached.filter(|c| c.era == era.number) {
            return Some((era, cached));
        }
        let entry = match self.store.get(&era.bucket_key(key)).await {
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
            era: era.number,
            version,
            bucket,
        };
        self.cache(key, Some(read.clone()));
        Some((era, read))
    }

    /// Starts an interval in which claims are refused at once.
    fn record_outage(&self) {
        self.outage_until.set(Millis::now() + OUTAGE_PAUSE);
    }

    fn cache(&self, key: &str, value: Option<CachedBucket>) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.cached = value;
        }
    }

    /// Writes a bucket; returns `false` if the batch must be retried. This also
    /// covers a write whose reply was lost: the retry recognizes the written
    /// claims by their nonces. A write that was answered in a later era is lost.
    async fn write(&self, key: &str, era: &Era, version: u64, bucket: Bucket) -> bool {
        let wait = self.pacer.reserve((self.daemon_count)(), Millis::now());
        compio::time::sleep(wait.into()).await;
        let Ok(json) = serde_json::to_string(&bucket) else {
            return false;
        };
        metrics::counter!(names::LEDGER_WRITES_TOTAL).increment(1);
        match self.store.swap(&era.bucket_key(key), version, &json).await {
            Ok(Swap::Written(version)) if !self.is_over(era) => {
                let written = CachedBucket {
                    era: era.number,
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

/// Counts a claim as waiting for its release until it is dropped.
struct ReleaseGuard {
    ledger: Rc<Ledger>,
}

impl ReleaseGuard {
    fn new(ledger: Rc<Ledger>) -> Self {
        ledger.releases.set(ledger.releases.get() + 1);
        Self { ledger }
    }
}

impl Drop for ReleaseGuard {
    fn drop(&mut self) {
        let releases = &self.ledger.releases;
        releases.set(releases.get() - 1);
    }
}

/// Fails the claims of a batch that can't be written now; releases stay.
fn refuse_claims(batch: &mut Vec<Pending>) {
    let (releases, claims) = batch.drain(..).partition(|p| p.request.release);
    *batch = releases;
    let verdicts = vec![Verdict::Unavailable; claims.len()];
    send_verdicts(claims, verdicts);
}

fn apply_batch(old: &Bucket, era: &Era, batch: &[Pending]) -> (Bucket, Vec<Verdict>) {
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
        if r.key.time < era.floor {
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
