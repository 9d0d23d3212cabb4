//! Whether the store was away for so long that records can have expired meanwhile.

use clock::Millis;

/// An upstream's record expires after three heartbeats without a write, and its last write
/// precedes an outage by up to one.
const HEARTBEATS_TO_EXPIRE: u64 = 2;

/// The calls to the store that failed, as one daemon sees them.
///
/// A failed call alone is no outage: its connection can have broken, or the store can
/// have refused just this call. Failures that come at intervals in which no record can expire
/// count as one outage.
#[derive(Debug)]
pub(super) struct Outage {
    /// Shortest outage in which records can expire.
    shortest: Millis,
    /// Last contact before the first failure.
    since: Millis,
    failed_at: Option<Millis>,
    /// Whether the last call failed.
    is_lost: bool,
}

/// The end of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OutageEnd {
    pub(super) duration: Millis,
    /// Whether records can have expired.
    pub(super) can_expire: bool,
}

impl Outage {
    /// Returns the state before any call; every failure counts as an outage if the
    /// `heartbeat` of upstreams is zero.
    pub(super) fn new(heartbeat: Millis) -> Self {
        Self {
            shortest: Millis(heartbeat.0.saturating_mul(HEARTBEATS_TO_EXPIRE)),
            since: Millis::ZERO,
            failed_at: None,
            is_lost: false,
        }
    }

    /// Records a failed call; `true` if the one before did not fail.
    pub(super) fn record_failure(&mut self, last_contact: Millis, now: Millis) -> bool {
        let is_same = self
            .failed_at
            .is_some_and(|at| now.since(at) <= self.shortest);
        if !is_same {
            self.since = last_contact;
        }
        self.failed_at = Some(now);
        !std::mem::replace(&mut self.is_lost, true)
    }

    /// Records that the store answered at a time; returns the outage that this ends.
    pub(super) fn record_contact(&mut self, at: Millis) -> Option<OutageEnd> {
        if !std::mem::replace(&mut self.is_lost, false) {
            return None;
        }
        let duration = at.since(self.since);
        Some(OutageEnd {
            duration,
            can_expire: duration >= self.shortest,
        })
    }
}
