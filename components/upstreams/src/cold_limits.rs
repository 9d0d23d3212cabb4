//! The rates of requests that cold upstreams take from all daemons together, and this
//! daemon's shares of them. No I/O.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use clock::Millis;

use crate::rate_share::{Burst, RateShare};
use crate::turns::{Segment, Turns};

/// Part of the overage that the refill of the shares and the difference of the daemons'
/// clocks use in a window of one second; the rest is for what they saved up.
const REFILL_OVERAGE: f64 = 1.1;
/// Requests of the slack that are not saved up: the share that is due next in a window.
const REFILL_SLACK: f64 = 1.0;

/// Turns that come within this time are waited for.
const SOON: Millis = Millis(250);

/// What a cold upstream may get in any one second, from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Requests as a multiple of its rate.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            overage: 1.5,
            slack: 5.0,
        }
    }
}

impl ColdBounds {
    /// Returns what all daemons together may save up. Each daemon holds a whole token only
    /// if this allows one for each.
    fn burst(self) -> Burst {
        let seconds = (self.overage - REFILL_OVERAGE).max(0.0);
        let requests = (self.slack - REFILL_SLACK).max(0.0);
        Burst {
            seconds,
            requests,
            whole_seconds: seconds,
            whole_requests: requests,
        }
    }
}

/// The time for which an upstream is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPeriod {
    /// Requests a second that it takes meanwhile.
    pub per_second: f64,
    /// Its end, as [`Millis::since_boot`] counts.
    pub until: Millis,
}

/// The time by the clocks that the limits use.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// See [`Millis::since_boot`].
    pub boot: Millis,
    /// See [`Millis::wall`].
    pub wall: Millis,
}

impl Times {
    /// Returns the current times.
    pub fn now() -> Self {
        Self {
            boot: Millis::since_boot(),
            wall: Millis::wall(),
        }
    }
}

#[derive(Debug)]
struct ColdLimit {
    period: ColdPeriod,
    share: RateShare,
    /// The last token that was used, if the share is less than one.
    used: u64,
}

impl ColdLimit {
    /// Returns the tokens of all daemons together per millisecond.
    fn turns_per_ms(&self, segment: Segment) -> f64 {
        self.share.per_ms() / segment.length
    }
}

/// The limits of cold upstreams by process of the upstream as in
/// [`Crash::upstream`](crate::Crash::upstream). Shares of less than a token are used in
/// [turns](crate::turns).
#[derive(Debug)]
pub struct ColdLimits {
    by_upstream: RefCell<HashMap<String, ColdLimit>>,
    bounds: Cell<ColdBounds>,
    segment: Cell<Segment>,
}

impl ColdLimits {
    /// Returns limits without cold upstreams, for a single daemon.
    pub fn new(bounds: ColdBounds) -> Self {
        Self {
            by_upstream: RefCell::default(),
            bounds: Cell::new(bounds),
            segment: Cell::new(Segment::WHOLE),
        }
    }

    /// Whether no upstream was cold lately.
    pub fn is_empty(&self) -> bool {
        self.by_upstream.borrow().is_empty()
    }

    /// Returns the number of cold upstreams.
    pub fn count(&self, boot: Millis) -> usize {
        let all = self.by_upstream.borrow();
        all.values().filter(|l| l.period.until > boot).count()
    }

    /// Whether an upstream is cold and limited.
    pub fn is_cold(&self, upstream: &str, boot: Millis) -> bool {
        let all = self.by_upstream.borrow();
        all.get(upstream).is_some_and(|l| l.period.until > boot)
    }

    /// Sets what a cold upstream may get.
    pub fn set_bounds(&self, bounds: ColdBounds, times: Times) {
        self.bounds.set(bounds);
        self.update_shares(times);
    }

    /// Sets this daemon's share of each limit.
    pub fn set_segment(&self, segment: Segment, times: Times) {
        if self.segment.replace(segment) != segment {
            self.update_shares(times);
        }
    }

    fn update_shares(&self, times: Times) {
        let burst = self.bounds.get().burst();
        for limit in self.by_upstream.borrow_mut().values_mut() {
            limit.share.set_burst(burst);
            self.set_rate(limit, times);
        }
    }

    /// Sets the rate of a limit and, as it numbers the tokens, the last one that was used.
    fn set_rate(&self, limit: &mut ColdLimit, times: Times) {
        let segment = self.segment.get();
        let daemons = 1.0 / segment.length;
        let before = limit.turns_per_ms(segment);
        let per_second = limit.period.per_second;
        limit.share.set_part(per_second, daemons, times.boot);
        let per_ms = limit.turns_per_ms(segment);
        if per_ms != before {
            limit.used = Turns::newest(per_ms, times.wall);
        }
    }

    /// Sets for how long an upstream is cold; `true` if it was not cold before. Its share
    /// begins without tokens.
    pub fn set(&self, upstream: &str, period: Option<ColdPeriod>, times: Times) -> bool {
        let mut all = self.by_upstream.borrow_mut();
        all.retain(|_, limit| limit.period.until > times.boot);
        let Some(period) = period.filter(|p| p.until > times.boot) else {
            all.remove(upstream);
            return false;
        };
        if let Some(known) = all.get_mut(upstream) {
            let is_changed = known.period.per_second != period.per_second;
            known.period = period;
            if is_changed {
                self.set_rate(known, times);
            }
            return false;
        }
        let burst = self.bounds.get().burst();
        let mut limit = ColdLimit {
            period,
            share: RateShare::with_burst(period.per_second, 1, burst, times.boot),
            used: 0,
        };
        self.set_rate(&mut limit, times);
        limit.used = Turns::newest(limit.turns_per_ms(self.segment.get()), times.wall);
        all.insert(upstream.to_owned(), limit);
        true
    }

    /// Returns the time until this daemon's share allows a request, zero if it does or the
    /// upstream is not cold; `None` if its turn does not come soon. `place`, from 0 to 1, is
    /// that of the upstream among those of its service: this daemon's turns are spread over
    /// them.
    pub fn wait(&self, upstream: &str, place: f64, times: Times) -> Option<Millis> {
        let all = self.by_upstream.borrow();
        let active = all.get(upstream).filter(|l| l.period.until > times.boot);
        let Some(limit) = active else {
            return Some(Millis::ZERO);
        };
        let left = limit.period.until.since(times.boot);
        if !limit.share.is_partial() {
            // A whole share does not depend on a draw.
            return limit.share.wait(0.0, times.boot).map(|wait| wait.min(left));
        }
        let turns = self.turns(limit, place);
        let end = (left <= SOON).then_some(left);
        match turns.current(times.wall, limit.used) {
            Some(_) => Some(Millis::ZERO),
            None => turns.next(times.wall, SOON.min(left)).or(end),
        }
    }

    fn turns(&self, limit: &ColdLimit, place: f64) -> Turns {
        let segment = self.segment.get();
        let burst = self.bounds.get().burst();
        Turns {
            per_ms: limit.turns_per_ms(segment),
            validity: limit.period.per_second * burst.seconds + burst.requests,
            segment,
            place,
        }
    }

    /// Returns this daemon's share of a limit, in requests per millisecond; `None` if the
    /// upstream is not cold.
    pub fn per_ms(&self, upstream: &str, boot: Millis) -> Option<f64> {
        let all = self.by_upstream.borrow();
        let active = all.get(upstream).filter(|l| l.period.until > boot);
        active.map(|limit| limit.share.per_ms())
    }

    /// Takes this daemon's token for a request to an upstream, if that is cold.
    pub fn spend(&self, upstream: &str, place: f64, times: Times) {
        let mut all = self.by_upstream.borrow_mut();
        let Some(limit) = all.get_mut(upstream) else {
            return;
        };
        match limit.share.is_partial() {
            false => limit.share.spend(times.boot),
            true => {
                let turns = self.turns(limit, place);
                let token = turns.current(times.wall, limit.used);
                limit.used = token.unwrap_or(limit.used);
            }
        }
    }

    /// Returns the token of a request that the upstream did not count.
    pub fn give_back(&self, upstream: &str, boot: Millis) {
        if let Some(limit) = self.by_upstream.borrow_mut().get_mut(upstream) {
            match limit.share.is_partial() {
                false => limit.share.give_back(boot),
                true => limit.used = limit.used.saturating_sub(1),
            }
        }
    }
}
