//! The crashes of one request, and whether they are evidence against it.

use clock::Millis;
use schema::CrashReport;

use super::{CRASH_TTL, Crash};

/// A request to many shards can end an upstream of each at once.
const CRASHES_PER_ENTRY: usize = 64;

/// A crash, and whether a later success of the request voided it.
#[derive(Clone, Debug)]
pub(super) struct KnownCrash {
    pub(super) crash: Crash,
    /// Expiry time of a crash at the time of that success; crashes that expire
    /// later happened after it.
    pub(super) cleared: Option<Millis>,
    /// Whether this daemon saw it.
    pub(super) is_own: bool,
}

impl KnownCrash {
    fn is_valid(&self, now: Millis) -> bool {
        now < self.crash.expires_at
    }

    fn report(&self, fingerprint: u64, now: Millis) -> CrashReport {
        let expires_at = self.cleared.unwrap_or(self.crash.expires_at);
        let age = CRASH_TTL.since(expires_at.since(now));
        CrashReport {
            fingerprint,
            upstream: self.crash.upstream.clone(),
            shard: self.crash.shard.clone(),
            age_ms: age.0,
            domain: self.crash.domain.clone(),
            alone: self.crash.alone,
            cleared: self.cleared.is_some(),
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Entry {
    crashes: Vec<KnownCrash>,
}

impl Entry {
    /// Returns the crashes that count.
    pub(super) fn counted(&self, now: Millis) -> impl Iterator<Item = &Crash> {
        let known = self.crashes.iter();
        let counted = known.filter(move |k| k.is_valid(now) && k.cleared.is_none());
        counted.map(|k| &k.crash)
    }

    /// Returns all crashes that have not expired, cleared ones included.
    pub(super) fn valid(&self, now: Millis) -> impl Iterator<Item = &KnownCrash> {
        self.crashes.iter().filter(move |k| k.is_valid(now))
    }

    pub(super) fn reports(&self, fingerprint: u64, now: Millis) -> Vec<CrashReport> {
        self.valid(now)
            .map(|k| k.report(fingerprint, now))
            .collect()
    }

    /// Returns the time at which the quarantine ends, if there is one: until then
    /// `crash_limit` crashes count for which `is_unexplained` holds, and at least
    /// one of them happened when the request was a suspect already. Requests that
    /// ran on several upstreams that were lost at once run elsewhere the next time
    /// and are cleared.
    pub(super) fn quarantine_end(
        &self,
        crash_limit: usize,
        now: Millis,
        is_unexplained: impl Fn(&Crash) -> bool,
    ) -> Option<Millis> {
        let counted: Vec<&Crash> = self.counted(now).filter(|c| is_unexplained(c)).collect();
        let mut ends: Vec<Millis> = counted.iter().map(|c| c.expires_at).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let enough_until = *ends.get(crash_limit.max(1) - 1)?;
        let alone = counted.iter().filter(|c| c.alone);
        let evidence_until = alone.map(|c| c.expires_at).max()?;
        Some(enough_until.min(evidence_until))
    }

    /// Whether the request also ran when `other` ended an upstream.
    pub(super) fn has_crash_of(&self, other: &Crash, now: Millis) -> bool {
        self.counted(now).any(|c| c.upstream == other.upstream)
    }

    /// Adds a crash, or renews a known one unless it was cleared later.
    pub(super) fn add(&mut self, crash: Crash, now: Millis) {
        let is_void = |k: &KnownCrash| k.cleared.is_some_and(|c| crash.expires_at <= c);
        match self.find(&crash.upstream) {
            Some(known) if is_void(known) => {}
            Some(known) => {
                known.cleared = None;
                known.crash.expires_at = known.crash.expires_at.max(crash.expires_at);
                known.crash.alone |= crash.alone;
            }
            None => self.insert(crash, None, now),
        }
    }

    /// Adds a crash that this daemon saw.
    pub(super) fn add_own(&mut self, crash: Crash, now: Millis) {
        let upstream = crash.upstream.clone();
        self.add(crash, now);
        if let Some(known) = self.find(&upstream) {
            known.is_own = true;
        }
    }

    /// Adds a crash unless it is known; repeated notices of a crash of one instance
    /// neither renew it nor undo that it was cleared.
    pub(super) fn add_once(&mut self, crash: Crash, now: Millis) {
        match self.find(&crash.upstream) {
            Some(known) => known.crash.alone |= crash.alone,
            None => self.insert(crash, None, now),
        }
    }

    /// Clears the crash of one upstream, which need not be known yet.
    pub(super) fn clear_crash(&mut self, crash: Crash, cleared: Millis, now: Millis) {
        match self.find(&crash.upstream) {
            Some(known) if known.crash.expires_at > cleared => {}
            Some(known) => known.cleared = known.cleared.max(Some(cleared)),
            None => self.insert(crash, Some(cleared), now),
        }
    }

    /// Clears the crashes for which `applies` holds; `true` if there are any.
    pub(super) fn clear(&mut self, cleared: Millis, applies: impl Fn(&Crash) -> bool) -> bool {
        let is_cleared = |k: &KnownCrash| {
            k.cleared.is_none() && k.crash.expires_at <= cleared && applies(&k.crash)
        };
        let mut is_changed = false;
        for known in self.crashes.iter_mut().filter(|k| is_cleared(k)) {
            known.cleared = Some(cleared);
            is_changed = true;
        }
        is_changed
    }

    fn find(&mut self, upstream: &str) -> Option<&mut KnownCrash> {
        self.crashes
            .iter_mut()
            .find(|k| k.crash.upstream == upstream)
    }

    /// Inserts a crash; a full entry gives up one that says less.
    fn insert(&mut self, crash: Crash, cleared: Option<Millis>, now: Millis) {
        self.crashes.retain(|k| k.is_valid(now));
        let known = KnownCrash {
            crash,
            cleared,
            is_own: false,
        };
        let says_less =
            |k: &KnownCrash| k.cleared.is_some() || (known.crash.alone && !k.crash.alone);
        let replaced = self.crashes.iter().position(says_less);
        match replaced {
            _ if self.crashes.len() < CRASHES_PER_ENTRY => self.crashes.push(known),
            Some(at) if cleared.is_none() => self.crashes[at] = known,
            _ => {}
        }
    }
}
