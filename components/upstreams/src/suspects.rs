//! Requests that were running when upstreams crashed.

use std::cell::RefCell;
use std::collections::HashMap;

use clock::Millis;
use futures_channel::oneshot;
use futures_util::FutureExt;
use schema::Strike;

const STRIKES_TO_QUARANTINE: usize = 2;
const STRIKE_LIFE: Millis = Millis(60_000);
const ENTRY_LIMIT: usize = 1_024;
const STRIKES_KEPT: usize = 8;
const SENT_LIMIT: usize = 64;
// Above this, watchers of finished requests are dropped.
const WATCHER_LIMIT: usize = 1_024;

/// What is known of a request's fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No upstream crashed while it ran.
    Clear,
    /// One upstream crashed while it ran.
    Suspect,
    /// Several upstreams crashed while it ran; it is refused.
    Quarantined {
        /// When the quarantine ends unless there are further crashes.
        expires_in: Millis,
    },
}

#[derive(Debug, Default)]
struct Entry {
    strikes: Vec<(String, Millis)>,
    cleared: Option<Millis>,
}

/// A bounded table of strikes by request fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    entries: RefCell<HashMap<u64, Entry>>,
    watchers: RefCell<HashMap<u64, Vec<oneshot::Sender<()>>>>,
}

impl Suspects {
    /// Notes that `upstream` crashed while the request ran there.
    ///
    /// Returns `true` if that quarantines the request.
    pub fn strike(&self, fingerprint: u64, upstream: &str, now: Millis) -> bool {
        let was = self.verdict(fingerprint, now);
        self.add(fingerprint, upstream, now, now);
        let is = self.verdict(fingerprint, now);
        was != is && matches!(is, Verdict::Quarantined { .. })
    }

    fn add(&self, fingerprint: u64, upstream: &str, at: Millis, now: Millis) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() >= ENTRY_LIMIT {
            entries.retain(|_, e| e.strikes.iter().any(|(_, at)| now.since(*at) < STRIKE_LIFE));
        }
        if entries.len() >= ENTRY_LIMIT && !entries.contains_key(&fingerprint) {
            return;
        }
        let entry = entries.entry(fingerprint).or_default();
        let is_cleared = entry.cleared.is_some_and(|cleared| at <= cleared);
        if is_cleared || entry.strikes.len() >= STRIKES_KEPT {
            return;
        }
        match entry.strikes.iter_mut().find(|(name, _)| name == upstream) {
            Some(strike) => strike.1 = strike.1.max(at),
            None => entry.strikes.push((upstream.to_owned(), at)),
        }
        if entry.strikes.len() >= STRIKES_TO_QUARANTINE {
            // Dropping the senders wakes the watchers.
            self.watchers.borrow_mut().remove(&fingerprint);
        }
    }

    /// What is known of a request.
    pub fn verdict(&self, fingerprint: u64, now: Millis) -> Verdict {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&fingerprint) else {
            return Verdict::Clear;
        };
        let valid = entry
            .strikes
            .iter()
            .map(|(_, at)| now.since(*at))
            .filter(|age| *age < STRIKE_LIFE);
        let ages: Vec<Millis> = valid.collect();
        match ages.iter().max() {
            None => Verdict::Clear,
            Some(oldest) if ages.len() >= STRIKES_TO_QUARANTINE => Verdict::Quarantined {
                expires_in: STRIKE_LIFE - *oldest,
            },
            Some(_) => Verdict::Suspect,
        }
    }

    /// Notes that a suspect ran without a crash; a quarantine stays.
    pub fn clear(&self, fingerprint: u64, now: Millis) {
        let is_suspect = self.verdict(fingerprint, now) == Verdict::Suspect;
        let mut entries = self.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(&fingerprint).filter(|_| is_suspect) {
            entry.strikes.clear();
            entry.cleared = Some(now);
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
    pub fn quarantine_size(&self, now: Millis) -> usize {
        let keys: Vec<u64> = self.entries.borrow().keys().copied().collect();
        let is_quarantined =
            |k: &&u64| matches!(self.verdict(**k, now), Verdict::Quarantined { .. });
        keys.iter().filter(is_quarantined).count()
    }

    /// Takes in a peer's strikes.
    pub fn absorb(&self, strikes: &[Strike], now: Millis) {
        for strike in strikes {
            let at = now.since(Millis(strike.age_ms));
            self.add(strike.fingerprint, &strike.upstream, at, now);
        }
    }

    /// Returns the newest strikes, for a message to a peer.
    pub fn collect(&self, now: Millis) -> Vec<Strike> {
        let entries = self.entries.borrow();
        let mut list: Vec<Strike> = entries
            .iter()
            .flat_map(|(fingerprint, e)| {
                e.strikes.iter().map(|(upstream, at)| Strike {
                    fingerprint: *fingerprint,
                    upstream: upstream.clone(),
                    age_ms: now.since(*at).0,
                })
            })
            .filter(|s| s.age_ms < STRIKE_LIFE.0)
            .collect();
        list.sort_by_key(|s| s.age_ms);
        list.truncate(SENT_LIMIT);
        list
    }
}
