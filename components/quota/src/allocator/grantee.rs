//! What an allocator knows of one daemon.

use clock::Millis;

use crate::account::TOKEN_LIFETIME;
use crate::message::Request;
use crate::share::SHARE_LIFETIME;

/// A daemon that was not heard from for this long may be using its share. Daemons with a
/// share report each 500 ms.
pub(crate) const SILENCE: Millis = Millis(1_000);

/// A daemon that reports to the allocator.
#[derive(Clone, Debug, Default)]
pub(super) struct Grantee {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    /// Its last report.
    last: Request,
    /// Tokens of the last answer, which it has not confirmed.
    unconfirmed: u64,
    /// Tokens that were counted as used because they have expired.
    written_off: u64,
    /// The share that it may use, in requests per millisecond.
    share: f64,
    /// Part of the refill that was held back because it may have used its share.
    withheld: f64,
    heard: Millis,
}

/// What a report changes in the bucket.
pub(super) struct Change {
    /// Tokens that were used or lost.
    pub(super) spent: f64,
    /// Tokens that were taken before because they might have been used.
    pub(super) reserved: f64,
}

impl Grantee {
    /// Returns a daemon that the allocator has not heard from before. What it holds was
    /// granted by another allocator.
    pub(super) fn new(incarnation: u64, sequence: u64, report: &Request, now: Millis) -> Self {
        Self {
            incarnation,
            sequence,
            last: report.clone(),
            share: report.share / 1_000.0,
            heard: now,
            ..Self::default()
        }
    }

    /// Takes a new report.
    pub(super) fn take_report(&mut self, sequence: u64, report: &Request, now: Millis) -> Change {
        let last = &self.last;
        let received = rise(report.received_total, last.received_total);
        // An answer that was lost is not repeated; its tokens count as used.
        let lost = self.unconfirmed.saturating_sub(received);
        let used = rise(report.used_total, last.used_total);
        let refunded = rise(report.refunded_total, last.refunded_total);
        let shared = rise(report.shared_total, last.shared_total);
        let change = Change {
            spent: (lost + used + shared) as f64 - refunded as f64,
            reserved: self.reserved(),
        };
        *self = Self {
            sequence,
            last: report.clone(),
            unconfirmed: 0,
            written_off: 0,
            withheld: 0.0,
            share: report.share / 1_000.0,
            heard: now,
            ..*self
        };
        change
    }

    /// Returns the tokens that were taken from the bucket because it may have used them.
    pub(super) fn reserved(&self) -> f64 {
        self.written_off as f64 + self.withheld
    }

    /// Records what an answer gives to the daemon.
    pub(super) fn grant(&mut self, tokens: u64, share: f64) {
        self.unconfirmed += tokens;
        // It keeps its former share if the answer is lost.
        self.share = self.share.max(share);
    }

    /// Returns the tokens that it may hold, without expired ones.
    pub(super) fn held(&self) -> f64 {
        (self.last.held() + self.unconfirmed).saturating_sub(self.written_off) as f64
    }

    /// Counts expired tokens as used; returns how many.
    pub(super) fn write_off(&mut self, now: Millis) -> f64 {
        if now.since(self.heard) < TOKEN_LIFETIME {
            return 0.0;
        }
        let expired = self.held();
        self.written_off += expired as u64;
        expired
    }

    /// Returns the part of the refill that has to be held back in addition.
    pub(super) fn withhold(&mut self, now: Millis) -> f64 {
        let silence = now.since(self.heard);
        if silence < SILENCE {
            return 0.0;
        }
        let used = self.share * silence.min(SHARE_LIFETIME).0 as f64;
        let more = (used - self.withheld).max(0.0);
        self.withheld += more;
        more
    }

    /// Returns what its share amounts to between two times.
    pub(super) fn share_between(&self, from: Millis, to: Millis) -> f64 {
        let end = to.min(self.heard + SHARE_LIFETIME);
        self.share * end.since(from).0 as f64
    }

    /// Returns the share that it may be using, in requests per millisecond.
    pub(super) fn share(&self, now: Millis) -> f64 {
        match now.since(self.heard) < SHARE_LIFETIME {
            true => self.share,
            false => 0.0,
        }
    }

    /// Returns the recent demand, zero if it was not heard from lately.
    pub(super) fn demand(&self, now: Millis) -> f64 {
        match now.since(self.heard) <= SILENCE {
            true => self.last.demand.max(0.0),
            false => 0.0,
        }
    }

    pub(super) fn is_silent(&self, now: Millis) -> bool {
        now.since(self.heard) > SILENCE
    }

    /// Time since its last report.
    pub(super) fn silence(&self, now: Millis) -> Millis {
        now.since(self.heard)
    }
}

fn rise(now: u64, before: u64) -> u64 {
    now.saturating_sub(before)
}
