//! Requests that were running when upstreams crashed.

mod entry;
mod exchange;
mod suspicions;

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use futures_channel::oneshot;
use futures_util::FutureExt;

use crate::failure::{Failure, Reason};
use entry::Entry;
pub use exchange::SharedCrash;
pub use suspicions::Suspicion;
use suspicions::Suspicions;

pub(crate) const DEFAULT_CRASH_LIMIT: usize = 2;
/// Time for which a crash counts.
pub const CRASH_TTL: Millis = Millis(600_000);
const ENTRY_LIMIT: usize = 1_024;
// Above this, watchers of finished requests are dropped.
const WATCHER_LIMIT: usize = 1_024;

/// Whether upstreams crashed while requests with one fingerprint ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// No upstream crashed while it ran.
    Clear,
    /// An upstream crashed, or may have, while it ran, but perhaps for another reason.
    Suspect,
    /// Several upstreams crashed while it ran, and it is refused.
    Quarantined {
        /// Time until the quarantine ends unless there are further crashes.
        expires_in: Millis,
    },
}

/// A crash of an upstream, or the loss of a connection to it, while a request
/// ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// `service/upstream`, followed by `@` and its start time if that is known.
    pub upstream: String,
    /// Shard for which the request ran; a success for the same shard clears the
    /// request.
    pub shard: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Whether the request was a suspect before, so that no other suspect ran
    /// there.
    pub alone: bool,
    /// Time at which it no longer counts, [`CRASH_TTL`] after it happened.
    pub expires_at: Millis,
}

/// A bounded table of crashes by request fingerprint.
#[derive(Debug)]
pub struct CrashTable {
    crash_limit: usize,
    entries: RefCell<HashMap<u64, Entry>>,
    watchers: RefCell<HashMap<u64, Vec<oneshot::Sender<()>>>>,
    suspicions: Suspicions,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::new(DEFAULT_CRASH_LIMIT)
    }
}

impl CrashTable {
    /// Returns an empty table that quarantines a request after `crash_limit`
    /// crashes.
    pub fn new(crash_limit: usize) -> Self {
        Self {
            crash_limit,
            entries: RefCell::default(),
            watchers: RefCell::default(),
            suspicions: Suspicions::default(),
        }
    }

    /// Records that an upstream crashed while the request ran there.
    ///
    /// Returns `true` if that quarantines the request.
    pub fn record(&self, fingerprint: u64, crash: Crash, now: Millis) -> bool {
        self.update(fingerprint, now, |entry| entry.add_own(crash, now))
    }

    /// Changes the entry of a request, which is created if the table has room;
    /// `true` if that quarantines the request.
    fn update(&self, fingerprint: u64, now: Millis, change: impl FnOnce(&mut Entry)) -> bool {
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= ENTRY_LIMIT && !entries.contains_key(&fingerprint) {
            make_room(&mut entries, now);
        }
        let was_quarantined = self.quarantine_end(&entries, fingerprint, now).is_some();
        change(entries.entry(fingerprint).or_default());
        let is_quarantined = self.quarantine_end(&entries, fingerprint, now).is_some();
        if is_quarantined {
            // Dropping the senders completes the futures of the watchers.
            self.watchers.borrow_mut().remove(&fingerprint);
        }
        is_quarantined && !was_quarantined
    }

    /// Returns the time at which the quarantine of a request ends, if it is in
    /// quarantine. A crash does not count if a request with more crashes ran on the
    /// upstream too: that one is the likelier cause.
    fn quarantine_end(
        &self,
        entries: &HashMap<u64, Entry>,
        fingerprint: u64,
        now: Millis,
    ) -> Option<Millis> {
        let entry = entries.get(&fingerprint)?;
        entry.quarantine_end(self.crash_limit, now, |_| true)?;
        let count = entry.counted(now).count();
        let likelier: Vec<&Entry> = entries
            .values()
            .filter(|e| e.counted(now).count() > count)
            .collect();
        let is_unexplained = |c: &Crash| !likelier.iter().any(|e| e.has_crash_of(c, now));
        entry.quarantine_end(self.crash_limit, now, is_unexplained)
    }

    /// Returns the status of a request.
    pub fn status(&self, fingerprint: u64, now: Millis) -> CrashStatus {
        let entries = self.entries.borrow();
        let has_crashes = entries
            .get(&fingerprint)
            .is_some_and(|entry| entry.counted(now).next().is_some());
        match self.quarantine_end(&entries, fingerprint, now) {
            Some(end) => CrashStatus::Quarantined {
                expires_in: end.since(now),
            },
            None if has_crashes => CrashStatus::Suspect,
            None if self.suspicions.contains(fingerprint, now) => CrashStatus::Suspect,
            None => CrashStatus::Clear,
        }
    }

    /// Suspects a request, of which peers are to be told; `true` if that is new.
    pub fn suspect(&self, suspicion: Suspicion, now: Millis) -> bool {
        self.suspicions.add_own(suspicion, now)
    }

    /// Merges the suspicion of a peer.
    pub fn merge_suspicion(&self, suspicion: Suspicion, now: Millis) {
        self.suspicions.add(suspicion, now);
    }

    /// Returns the suspicions of this daemon since the last call.
    pub fn take_suspicions(&self) -> Vec<Suspicion> {
        self.suspicions.take_unsent()
    }

    /// Returns the failure domains of the upstreams that crashed, or may have, while a
    /// request ran there.
    pub(crate) fn crash_domains(&self, fingerprint: u64, now: Millis) -> Vec<String> {
        let entries = self.entries.borrow();
        let crashes = entries.get(&fingerprint).into_iter();
        let counted = crashes.flat_map(|e| e.counted(now));
        let mut domains = self.suspicions.domains(fingerprint, now);
        domains.extend(counted.map(|c| c.domain.clone()));
        domains
    }

    /// Returns the time since the last crash under a request; [`CRASH_TTL`] if there
    /// is none.
    pub(crate) fn last_crash_age(&self, fingerprint: u64, now: Millis) -> Millis {
        let entries = self.entries.borrow();
        let crashes = entries.get(&fingerprint).into_iter();
        let expiry = crashes.flat_map(|e| e.counted(now)).map(|c| c.expires_at);
        CRASH_TTL - (expiry.max().unwrap_or(now) - now)
    }

    /// Whether no crash is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// Returns the failure of a quarantined request that did not run yet, or
    /// `None` if the request is not quarantined.
    pub fn quarantine_failure(&self, fingerprint: u64, now: Millis) -> Option<Failure> {
        match self.status(fingerprint, now) {
            CrashStatus::Clear | CrashStatus::Suspect => None,
            CrashStatus::Quarantined { expires_in } => Some(Failure {
                retry_after: expires_in,
                ..Failure::not_run(Reason::Quarantined)
            }),
        }
    }

    /// Records that a request succeeded for a shard, which voids the crashes under
    /// it there; a quarantine stays. `true` if there were any.
    pub fn clear(&self, fingerprint: u64, shard: &str, now: Millis) -> bool {
        let was_suspected = self.suspicions.clear(fingerprint, shard);
        self.clear_if(fingerprint, now + CRASH_TTL, now, |c| c.shard == shard) || was_suspected
    }

    fn clear_if(
        &self,
        fingerprint: u64,
        cleared: Millis,
        now: Millis,
        applies: impl Fn(&Crash) -> bool,
    ) -> bool {
        let mut entries = self.entries.borrow_mut();
        if self.quarantine_end(&entries, fingerprint, now).is_some() {
            return false;
        }
        let entry = entries.get_mut(&fingerprint);
        entry.is_some_and(|e| e.clear(cleared, applies))
    }

    /// Returns a future that completes when the request is quarantined.
    pub fn watch(&self, fingerprint: u64) -> impl Future<Output = ()> + use<> {
        let (sender, receiver) = oneshot::channel();
        let mut watchers = self.watchers.borrow_mut();
        if watchers.len() >= WATCHER_LIMIT {
            watchers.retain(|_, list| list.iter().any(|s| !s.is_canceled()));
        }
        let list = watchers.entry(fingerprint).or_default();
        list.retain(|s| !s.is_canceled());
        list.push(sender);
        receiver.map(|_| ())
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        let entries = self.entries.borrow();
        let is_quarantined = |f: &&u64| self.quarantine_end(&entries, **f, now).is_some();
        entries.keys().filter(is_quarantined).count()
    }
}

/// Drops the requests without a crash that counts, or else one with the fewest
/// such crashes, so that a request that keeps crashing upstreams is not forgotten
/// for those that ran beside it.
fn make_room(entries: &mut HashMap<u64, Entry>, now: Millis) {
    entries.retain(|_, e| e.counted(now).next().is_some());
    if entries.len() < ENTRY_LIMIT {
        return;
    }
    let fewest = entries.iter().min_by_key(|(_, e)| e.counted(now).count());
    if let Some(fingerprint) = fewest.map(|(f, _)| *f) {
        entries.remove(&fingerprint);
    }
}
