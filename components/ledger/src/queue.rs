//! Requests to the ledger, queued by bucket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use serde::Serialize;
use slog::{Logger, warn};
use store::Store;

use crate::bucket::Bucket;
use crate::epoch::Epoch;
use crate::key::Key;
use crate::pace::WritePacer;
use crate::verdict::Verdict;

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

pub(crate) struct Pending {
    pub(crate) request: LedgerRequest,
    pub(crate) sender: oneshot::Sender<Verdict>,
}

#[derive(Default)]
pub(crate) struct Queue {
    pub(crate) pending: Vec<Pending>,
    pub(crate) is_running: bool,
    pub(crate) cached: Option<CachedBucket>,
}

/// A bucket as it is in the store.
#[derive(Clone)]
pub(crate) struct CachedBucket {
    /// Number of the store's epoch.
    pub(crate) epoch: u64,
    pub(crate) version: u64,
    pub(crate) bucket: Bucket,
}

/// The state of one bucket, for the state dump.
#[derive(Debug, Serialize)]
pub struct BucketView {
    /// The store's key, without the epoch.
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
    /// The epoch of the store, as far as it is recorded.
    pub(crate) epoch: Cell<Epoch>,
    pub(crate) queues: RefCell<HashMap<String, Queue>>,
    pub(crate) pacer: WritePacer,
    pub(crate) daemon_count: Box<dyn Fn() -> usize>,
    /// Whether the store does not answer, so that claims are refused at once.
    pub(crate) is_out: Cell<bool>,
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
            epoch: Cell::default(),
            queues,
            pacer,
            daemon_count,
            is_out: Cell::default(),
            releases: Cell::default(),
            failed_releases: Cell::default(),
            log: log.clone(),
        })
    }

    /// Claims or releases a key and returns by the request's deadline.
    pub async fn submit(self: &Rc<Self>, request: LedgerRequest) -> Verdict {
        if !request.release && self.is_out.get() {
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
