//! Requests that were running when upstreams crashed.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use futures_channel::oneshot;
use futures_util::FutureExt;
use schema::CrashReport;

use crate::failure::{Failure, Reason};

pub(crate) const STRIKES_TO_QUARANTINE: usize = 2;
const STRIKE_LIFE: Millis = Millis(60_000);
const ENTRY_LIMIT: usize = 1_024;
const STRIKES_KEPT: usize = 8;
const SENT_LIMIT: usize = 64;
// Above this, watchers of finished requests are dropped.
const WATCHER_LIMIT: usize = 1_024;

/// What is known of a request's fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// No upstream crashed while it ran.
    Clear,
    /// Upstreams crashed while it ran, perhaps for another reason.
    Suspect,
    /// Several upstreams crashed while it ran; it is refused.
    Quarantined {
        /// When the quarantine ends unless there are further crashes.
        expires_in: Millis,
    },
}

/// The death of a connection to an upstream while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// `service/upstream`.
    pub upstream: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Whether no other suspect ran there.
    pub alone: bool,
    /// When it was noticed.
    pub at: Millis,
}

#[derive(Debug, Default)]
struct Entry {
    deaths: Vec<Crash>,
    cleared: Option<Millis>,
}

impl Entry {
    fn valid(&self, now: Millis) -> impl Iterator<Item = &Crash> {
        self.deaths
            .iter()
            .filter(move |d| now.since(d.at) < STRIKE_LIFE)
    }

    fn messages(&self, fingerprint: u64, now: Millis) -> Vec<CrashReport> {
        let cleared = self
            .cleared
            .filter(|at| now.since(*at) < STRIKE_LIFE)
            .map(|at| CrashReport {
                fingerprint,
                age_ms: now.since(at).0,
                cleared: true,
                ..CrashReport::default()
            });
        let deaths = self.valid(now).map(|death| CrashReport {
            fingerprint,
            upstream: death.upstream.clone(),
            age_ms: now.since(death.at).0,
            domain: death.domain.clone(),
            alone: death.alone,
            cleared: false,
        });
        cleared.into_iter().chain(deaths).collect()
    }

    /// Whether the request, and not the loss of one failure domain, explains
    /// the deaths.
    fn is_convicted(&self, strikes: usize, now: Millis) -> bool {
        let Some(first) = self.valid(now).next() else {
            return false;
        };
        let is_telling = |d: &Crash| d.alone || d.domain != first.domain;
        self.valid(now).count() >= strikes && self.valid(now).any(is_telling)
    }
}

/// A bounded table of strikes by request fingerprint.
#[derive(Debug)]
pub struct CrashTable {
    strikes: usize,
    entries: RefCell<HashMap<u64, Entry>>,
    watchers: RefCell<HashMap<u64, Vec<oneshot::Sender<()>>>>,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::new(STRIKES_TO_QUARANTINE)
    }
}

impl CrashTable {
    /// Returns an empty table that quarantines a request after some strikes.
    pub fn new(strikes: usize) -> Self {
        Self {
            strikes,
            entries: RefCell::default(),
            watchers: RefCell::default(),
        }
    }

    /// Notes that an upstream crashed while the request ran there.
    ///
    /// Returns `true` if that quarantines the request.
    pub fn record(&self, fingerprint: u64, death: Crash) -> bool {
        let now = death.at;
        let was = self.status(fingerprint, now);
        self.add(fingerprint, death, now);
        let is = self.status(fingerprint, now);
        was != is && matches!(is, CrashStatus::Quarantined { .. })
    }

    fn add(&self, fingerprint: u64, death: Crash, now: Millis) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= ENTRY_LIMIT {
            entries.retain(|_, e| e.valid(now).next().is_some());
        }
        if entries.len() >= ENTRY_LIMIT && !entries.contains_key(&fingerprint) {
            return;
        }
        let entry = entries.entry(fingerprint).or_default();
        let is_cleared = entry.cleared.is_some_and(|cleared| death.at <= cleared);
        if is_cleared || entry.deaths.len() >= STRIKES_KEPT {
            return;
        }
        let mut known = entry.deaths.iter_mut();
        match known.find(|d| d.upstream == death.upstream) {
            Some(known) => {
                known.at = known.at.max(death.at);
                known.alone |= death.alone;
            }
            None => entry.deaths.push(death),
        }
        if entry.is_convicted(self.strikes, now) {
            // Dropping the senders wakes the watchers.
            self.watchers.borrow_mut().remove(&fingerprint);
        }
    }

    /// What is known of a request.
    pub fn status(&self, fingerprint: u64, now: Millis) -> CrashStatus {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&fingerprint) else {
            return CrashStatus::Clear;
        };
        match entry.valid(now).map(|d| now.since(d.at)).max() {
            None => CrashStatus::Clear,
            Some(oldest) if entry.is_convicted(self.strikes, now) => CrashStatus::Quarantined {
                expires_in: STRIKE_LIFE - oldest,
            },
            Some(_) => CrashStatus::Suspect,
        }
    }

    /// The failure domains in which upstreams crashed while a request ran
    /// there.
    pub(crate) fn crash_domains(&self, fingerprint: u64, now: Millis) -> Vec<String> {
        let entries = self.entries.borrow();
        let deaths = entries.get(&fingerprint).into_iter();
        let valid = deaths.flat_map(|e| e.valid(now));
        valid.map(|d| d.domain.clone()).collect()
    }

    /// Why a request is refused, if it is quarantined; it did not run yet.
    pub fn refusal(&self, fingerprint: u64, now: Millis) -> Option<Failure> {
        match self.status(fingerprint, now) {
            CrashStatus::Clear | CrashStatus::Suspect => None,
            CrashStatus::Quarantined { expires_in } => Some(Failure {
                retry_after: expires_in,
                ..Failure::not_run(Reason::Quarantined)
            }),
        }
    }

    /// Notes that a suspect ran alone without a crash; a quarantine stays.
    pub fn clear(&self, fingerprint: u64, now: Millis) {
        self.clear_until(fingerprint, now, now);
    }

    fn clear_until(&self, fingerprint: u64, at: Millis, now: Millis) {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&fingerprint);
        if let Some(entry) = entry.filter(|e| !e.is_convicted(self.strikes, now)) {
            entry.deaths.retain(|d| d.at > at);
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

    /// The number of quarantined requests.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        let keys: Vec<u64> = self.entries.borrow().keys().copied().collect();
        let is_quarantined =
            |k: &&u64| matches!(self.status(**k, now), CrashStatus::Quarantined { .. });
        keys.iter().filter(is_quarantined).count()
    }

    /// Takes in a peer's strikes.
    pub fn merge(&self, strikes: &[CrashReport], now: Millis) {
        let (clears, deaths): (Vec<&CrashReport>, Vec<&CrashReport>) =
            strikes.iter().partition(|s| s.cleared);
        for clear in clears {
            let at = now.since(Millis(clear.age_ms));
            self.clear_until(clear.fingerprint, at, now);
        }
        for strike in deaths {
            let death = Crash {
                upstream: strike.upstream.clone(),
                domain: strike.domain.clone(),
                alone: strike.alone,
                at: now.since(Millis(strike.age_ms)),
            };
            self.add(strike.fingerprint, death, now);
        }
    }

    /// Returns the newest strikes, for a message to a peer.
    pub fn collect(&self, now: Millis) -> Vec<CrashReport> {
        let entries = self.entries.borrow();
        let mut list: Vec<CrashReport> = entries
            .iter()
            .flat_map(|(fingerprint, e)| e.messages(*fingerprint, now))
            .collect();
        list.sort_by_key(|s| s.age_ms);
        list.truncate(SENT_LIMIT);
        list
    }
}
