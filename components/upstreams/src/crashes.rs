//! Requests that were running when upstreams crashed.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use futures_channel::oneshot;
use futures_util::FutureExt;
use schema::CrashReport;

use crate::failure::{Failure, Reason};

pub(crate) const DEFAULT_CRASH_LIMIT: usize = 2;
const CRASH_TTL: Millis = Millis(60_000);
const ENTRY_LIMIT: usize = 1_024;
const CRASHES_PER_ENTRY: usize = 8;
const SENT_REPORTS_LIMIT: usize = 64;
// Above this, watchers of finished requests are dropped.
const WATCHER_LIMIT: usize = 1_024;

/// Whether upstreams crashed while requests with one fingerprint ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// No upstream crashed while it ran.
    Clear,
    /// An upstream crashed while it ran, but perhaps for another reason.
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
    /// `service/upstream`.
    pub upstream: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Whether no other suspect ran there.
    pub alone: bool,
    /// Time at which it was detected.
    pub at: Millis,
}

#[derive(Debug, Default)]
struct Entry {
    crashes: Vec<Crash>,
    cleared: Option<Millis>,
}

impl Entry {
    fn valid(&self, now: Millis) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(move |c| now.since(c.at) < CRASH_TTL)
    }

    fn reports(&self, fingerprint: u64, now: Millis) -> Vec<CrashReport> {
        let cleared = self
            .cleared
            .filter(|at| now.since(*at) < CRASH_TTL)
            .map(|at| CrashReport {
                fingerprint,
                age_ms: now.since(at).0,
                cleared: true,
                ..CrashReport::default()
            });
        let crashes = self.valid(now).map(|crash| CrashReport {
            fingerprint,
            upstream: crash.upstream.clone(),
            age_ms: now.since(crash.at).0,
            domain: crash.domain.clone(),
            alone: crash.alone,
            cleared: false,
        });
        cleared.into_iter().chain(crashes).collect()
    }

    /// Whether there are enough crashes and the loss of one failure domain does
    /// not explain them.
    fn is_quarantined(&self, crash_limit: usize, now: Millis) -> bool {
        let Some(first) = self.valid(now).next() else {
            return false;
        };
        let is_evidence = |c: &Crash| c.alone || c.domain != first.domain;
        self.valid(now).count() >= crash_limit && self.valid(now).any(is_evidence)
    }
}

/// A bounded table of crashes by request fingerprint.
#[derive(Debug)]
pub struct CrashTable {
    crash_limit: usize,
    entries: RefCell<HashMap<u64, Entry>>,
    watchers: RefCell<HashMap<u64, Vec<oneshot::Sender<()>>>>,
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
        }
    }

    /// Records that an upstream crashed while the request ran there.
    ///
    /// Returns `true` if that quarantines the request.
    pub fn record(&self, fingerprint: u64, crash: Crash) -> bool {
        let now = crash.at;
        let before = self.status(fingerprint, now);
        self.add(fingerprint, crash, now);
        let after = self.status(fingerprint, now);
        before != after && matches!(after, CrashStatus::Quarantined { .. })
    }

    fn add(&self, fingerprint: u64, crash: Crash, now: Millis) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= ENTRY_LIMIT {
            entries.retain(|_, e| e.valid(now).next().is_some());
        }
        if entries.len() >= ENTRY_LIMIT && !entries.contains_key(&fingerprint) {
            return;
        }
        let entry = entries.entry(fingerprint).or_default();
        let is_cleared = entry.cleared.is_some_and(|cleared| crash.at <= cleared);
        if is_cleared || entry.crashes.len() >= CRASHES_PER_ENTRY {
            return;
        }
        let mut known = entry.crashes.iter_mut();
        match known.find(|c| c.upstream == crash.upstream) {
            Some(known) => {
                known.at = known.at.max(crash.at);
                known.alone |= crash.alone;
            }
            None => entry.crashes.push(crash),
        }
        if entry.is_quarantined(self.crash_limit, now) {
            // Dropping the senders completes the futures of the watchers.
            self.watchers.borrow_mut().remove(&fingerprint);
        }
    }

    /// Returns the status of a request.
    pub fn status(&self, fingerprint: u64, now: Millis) -> CrashStatus {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&fingerprint) else {
            return CrashStatus::Clear;
        };
        match entry.valid(now).map(|c| now.since(c.at)).max() {
            None => CrashStatus::Clear,
            Some(oldest) if entry.is_quarantined(self.crash_limit, now) => {
                CrashStatus::Quarantined {
                    expires_in: CRASH_TTL - oldest,
                }
            }
            Some(_) => CrashStatus::Suspect,
        }
    }

    /// Returns the failure domains of the upstreams that crashed while a request
    /// ran there.
    pub(crate) fn crash_domains(&self, fingerprint: u64, now: Millis) -> Vec<String> {
        let entries = self.entries.borrow();
        let crashes = entries.get(&fingerprint).into_iter();
        let valid = crashes.flat_map(|e| e.valid(now));
        valid.map(|c| c.domain.clone()).collect()
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

    /// Records that a suspect ran alone without a crash, which voids its earlier
    /// crashes; a quarantine stays.
    pub fn clear(&self, fingerprint: u64, now: Millis) {
        self.clear_until(fingerprint, now, now);
    }

    fn clear_until(&self, fingerprint: u64, at: Millis, now: Millis) {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&fingerprint);
        if let Some(entry) = entry.filter(|e| !e.is_quarantined(self.crash_limit, now)) {
            entry.crashes.retain(|c| c.at > at);
            entry.cleared = entry.cleared.max(Some(at));
        }
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
        let keys: Vec<u64> = self.entries.borrow().keys().copied().collect();
        let is_quarantined =
            |k: &&u64| matches!(self.status(**k, now), CrashStatus::Quarantined { .. });
        keys.iter().filter(is_quarantined).count()
    }

    /// Merges a peer's reports into the table.
    pub fn merge(&self, reports: &[CrashReport], now: Millis) {
        let (cleared, crashes): (Vec<&CrashReport>, Vec<&CrashReport>) =
            reports.iter().partition(|r| r.cleared);
        for report in cleared {
            let at = now.since(Millis(report.age_ms));
            self.clear_until(report.fingerprint, at, now);
        }
        for report in crashes {
            let crash = Crash {
                upstream: report.upstream.clone(),
                domain: report.domain.clone(),
                alone: report.alone,
                at: now.since(Millis(report.age_ms)),
            };
            self.add(report.fingerprint, crash, now);
        }
    }

    /// Returns the newest reports for a message to a peer.
    pub fn collect(&self, now: Millis) -> Vec<CrashReport> {
        let entries = self.entries.borrow();
        let mut list: Vec<CrashReport> = entries
            .iter()
            .flat_map(|(fingerprint, e)| e.reports(*fingerprint, now))
            .collect();
        list.sort_by_key(|r| r.age_ms);
        list.truncate(SENT_REPORTS_LIMIT);
        list
    }
}
