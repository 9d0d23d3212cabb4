//! Group commit: all claims that arrive while a bucket is being written go
//! into its next write.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use serde::Serialize;
use slog::{Logger, info};
use store::{Store, Swap};
use telemetry::names;

use crate::bucket::Bucket;
use crate::key::Key;
use crate::pace::Pace;
use crate::verdict::Verdict;

const RETRY_PAUSE: Millis = Millis(50);
const OUT_PAUSE: Millis = Millis(500);
const RELEASE_LIFE: Millis = Millis(60_000);
const PENDING_LIMIT: usize = 4_096;
const CACHED_BUCKETS: usize = 1_024;

/// What is asked of a bucket.
#[derive(Clone, Debug)]
pub struct LedgerRequest {
    /// Name of the service.
    pub service: String,
    /// The key.
    pub key: Key,
    /// Identifies the attempt; the same nonce claims once however often it
    /// is asked.
    pub nonce: String,
    /// Name of the daemon that will dispatch.
    pub claimer: String,
    /// How long keys of this service are kept.
    pub retention: Millis,
    /// Time by which an answer is of use.
    pub deadline: Millis,
    /// Whether the claim is dropped instead of made.
    pub release: bool,
}

struct Pending {
    request: LedgerRequest,
    answer: oneshot::Sender<Verdict>,
}

#[derive(Default)]
struct Queue {
    pending: Vec<Pending>,
    is_running: bool,
    cached: Option<(u64, Bucket)>,
}

/// The state of one bucket, for the state dump.
#[derive(Debug, Serialize)]
pub struct BucketView {
    /// The store's key.
    pub key: String,
    /// Version as last seen.
    pub version: u64,
    /// Claims as last seen.
    pub claims: usize,
    /// Requests that wait for the next write.
    pub pending: usize,
}

/// The ledger as one daemon uses it.
pub struct Ledger {
    store: Rc<dyn Store>,
    queues: RefCell<HashMap<String, Queue>>,
    pace: Pace,
    daemons: Box<dyn Fn() -> usize>,
    // Until then the store is taken to be out, and claims are refused at once.
    out_until: Cell<Millis>,
    log: Logger,
}

impl Ledger {
    /// Returns a ledger on a store; `daemons` counts those that share it.
    pub fn new(store: Rc<dyn Store>, daemons: Box<dyn Fn() -> usize>, log: &Logger) -> Rc<Self> {
        let (queues, pace) = (RefCell::default(), Pace::default());
        Rc::new(Self {
            store,
            queues,
            pace,
            daemons,
            out_until: Cell::default(),
            log: log.clone(),
        })
    }

    /// Claims or releases a key; answers by the request's deadline.
    pub async fn submit(self: &Rc<Self>, request: LedgerRequest) -> Verdict {
        if !request.release && Millis::now() < self.out_until.get() {
            return Verdict::Unavailable;
        }
        let bucket = request.key.bucket(&request.service);
        let deadline = request.deadline;
        let (answer, receiver) = oneshot::channel();
        if !self.enqueue(&bucket, Pending { request, answer }) {
            return Verdict::Unavailable;
        }
        let left = deadline.since(Millis::now());
        match compio::time::timeout(left.into(), receiver).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => Verdict::Unavailable,
        }
    }

    /// Releases a claim in the background, for as long as it matters.
    pub fn release_later(self: &Rc<Self>, request: LedgerRequest, after: Millis) {
        let ledger = self.clone();
        let deadline = Millis::now() + after + RELEASE_LIFE;
        let request = LedgerRequest {
            release: true,
            deadline,
            ..request
        };
        let task = async move {
            compio::time::sleep(after.into()).await;
            ledger.submit(request).await
        };
        compio::runtime::spawn(task).detach();
    }

    /// Returns the state of the buckets in use.
    pub fn view(&self) -> Vec<BucketView> {
        let queues = self.queues.borrow();
        let view = queues.iter().map(|(key, q)| BucketView {
            key: key.clone(),
            version: q.cached.as_ref().map_or(0, |(version, _)| *version),
            claims: q
                .cached
                .as_ref()
                .map_or(0, |(_, bucket)| bucket.claims.len()),
            pending: q.pending.len(),
        });
        view.collect()
    }

    fn enqueue(self: &Rc<Self>, bucket: &str, pending: Pending) -> bool {
        let mut queues = self.queues.borrow_mut();
        if queues.len() >= CACHED_BUCKETS {
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

    /// Writes a bucket until nothing waits for it.
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

    /// Commits a batch; requests that are too late are answered as such.
    async fn commit(&self, key: &str, mut batch: Vec<Pending>) {
        loop {
            batch.retain(|p| p.request.deadline > Millis::now() && !p.answer.is_canceled());
            if batch.is_empty() {
                return;
            }
            let Some((version, old)) = self.current(key).await else {
                refuse_claims(&mut batch);
                compio::time::sleep(RETRY_PAUSE.into()).await;
                continue;
            };
            let (new, verdicts) = decide(&old, &batch);
            // A release is always written: the new version defeats a claim of
            // the same attempt that is still on its way.
            let is_read_only = new.claims == old.claims && !batch.iter().any(|p| p.request.release);
            if is_read_only || self.write(key, version, new).await {
                return answer(batch, verdicts);
            }
        }
    }

    async fn current(&self, key: &str) -> Option<(u64, Bucket)> {
        let cached = self.queues.borrow().get(key).and_then(|q| q.cached.clone());
        if cached.is_some() {
            return cached;
        }
        let entry = match self.store.get(key).await {
            Ok(entry) => entry,
            Err(e) => {
                self.note_outage();
                info!(self.log, "ledger not read"; "bucket" => key, "error" => %e);
                return None;
            }
        };
        let read = match entry {
            None => (0, Bucket::default()),
            Some(entry) => match serde_json::from_str(&entry.value) {
                Ok(bucket) => (entry.version, bucket),
                Err(e) => {
                    slog::error!(self.log, "ledger value is malformed"; "bucket" => key, "error" => %e);
                    return None;
                }
            },
        };
        self.cache(key, Some(read.clone()));
        Some(read)
    }

    /// Starts a pause in which claims are refused at once.
    fn note_outage(&self) {
        self.out_until.set(Millis::now() + OUT_PAUSE);
    }

    fn cache(&self, key: &str, value: Option<(u64, Bucket)>) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(key) {
            queue.cached = value;
        }
    }

    /// Writes a bucket; `false` if it must be read again first. That also
    /// settles a lost answer: the claims that were written are found by their
    /// nonces.
    async fn write(&self, key: &str, version: u64, bucket: Bucket) -> bool {
        let wait = self.pace.reserve((self.daemons)(), Millis::now());
        compio::time::sleep(wait.into()).await;
        let Ok(json) = serde_json::to_string(&bucket) else {
            return false;
        };
        metrics::counter!(names::LEDGER_WRITES_TOTAL).increment(1);
        match self.store.swap(key, version, &json).await {
            Ok(Swap::Written(version)) => {
                self.cache(key, Some((version, bucket)));
                true
            }
            Ok(Swap::Conflict) => {
                self.cache(key, None);
                false
            }
            Err(e) => {
                self.note_outage();
                info!(self.log, "ledger write not confirmed"; "bucket" => key, "error" => %e);
                self.cache(key, None);
                compio::time::sleep(RETRY_PAUSE.into()).await;
                false
            }
        }
    }
}

/// Answers the claims of a batch that can't be written now; releases stay.
fn refuse_claims(batch: &mut Vec<Pending>) {
    let (releases, claims) = batch.drain(..).partition(|p| p.request.release);
    *batch = releases;
    let verdicts = vec![Verdict::Unavailable; claims.len()];
    answer(claims, verdicts);
}

fn decide(old: &Bucket, batch: &[Pending]) -> (Bucket, Vec<Verdict>) {
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
        new.claim(&r.key, &r.nonce, &r.claimer, now)
    });
    let verdicts = verdicts.collect();
    (new, verdicts)
}

fn answer(batch: Vec<Pending>, verdicts: Vec<Verdict>) {
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        if verdict == Verdict::Claimed {
            metrics::counter!(names::LEDGER_CLAIMS_TOTAL).increment(1);
        }
        // An asker that gave up releases its claim itself.
        let _ = pending.answer.send(verdict);
    }
}
