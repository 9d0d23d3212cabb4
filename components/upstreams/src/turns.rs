//! Turns of daemons whose shares of a rate are less than a request. No I/O.
//!
//! The tokens of a rate are numbered by the wall clock, and each belongs to one daemon. The
//! number of tokens that can be used at any time is then nearly constant, while independent
//! random draws of many daemons can come at once. If clocks or lists of daemons differ,
//! turns overlap at random, which is no worse than such draws.

use clock::Millis;

/// Multiples of the golden ratio are spread evenly over the circle, whatever the number of
/// daemons and their shares.
const STEP: f64 = 0.618_033_988_749_894_9;
/// Numbers repeat after so many, which keeps the multiples exact enough.
const CYCLE: u64 = 1 << 32;

/// The part of the circle from 0 to 1 that belongs to one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Segment {
    /// Where it begins: the sum of the shares of the daemons before this one.
    pub start: f64,
    /// This daemon's share.
    pub length: f64,
}

impl Segment {
    /// The segment of a single daemon.
    pub const WHOLE: Self = Self {
        start: 0.0,
        length: 1.0,
    };

    fn contains(self, point: f64) -> bool {
        (point - self.start).rem_euclid(1.0) < self.length
    }
}

/// The turns of one daemon at one upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Turns {
    /// Tokens of all daemons together per millisecond.
    pub(crate) per_ms: f64,
    /// For how many tokens a token can be used.
    pub(crate) validity: f64,
    pub(crate) segment: Segment,
    /// Shifts the turns at the upstreams of a service against each other, from 0 to 1.
    pub(crate) place: f64,
}

impl Turns {
    /// Returns the number of the newest token.
    pub(crate) fn newest(per_ms: f64, wall: Millis) -> u64 {
        (wall.0 as f64 * per_ms) as u64
    }

    /// Returns the newest of this daemon's tokens that can be used, and that is newer than
    /// `used`.
    pub(crate) fn current(&self, wall: Millis, used: u64) -> Option<u64> {
        let now = wall.0 as f64 * self.per_ms;
        let oldest = (now - self.validity).max(0.0).ceil() as u64;
        let tokens = oldest.max(used + 1)..=now as u64;
        tokens.rev().find(|token| self.is_own(*token))
    }

    /// Returns the time until this daemon's next token if that is at most `within`.
    pub(crate) fn next(&self, wall: Millis, within: Millis) -> Option<Millis> {
        let newest = Self::newest(self.per_ms, wall);
        let last = Self::newest(self.per_ms, wall + within);
        let next = (newest + 1..=last).find(|token| self.is_own(*token))?;
        let at = (next as f64 / self.per_ms).ceil() as u64;
        Some(Millis(at).since(wall).max(Millis(1)))
    }

    fn is_own(&self, token: u64) -> bool {
        let point = (token % CYCLE) as f64 * STEP + self.place;
        self.segment.contains(point.fract())
    }
}
