//! The rates of requests that cold upstreams take from all daemons together, and this
//! daemon's shares of them. No I/O.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use clock::Millis;

use crate::rate_share::{Burst, RateShare};

/// Part of the overage that the refill of the shares and the difference of the daemons'
/// clocks use in a window of one second; the rest is for what they saved up.
const REFILL_OVERAGE: f64 = 1.1;
/// Requests of the slack that are not saved up: the share that is due next in a window.
const REFILL_SLACK: f64 = 1.0;

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
}

/// The limits of cold upstreams by process of the upstream as in
/// [`Crash::upstream`](crate::Crash::upstream).
///
/// A share of less than a token is used in turns: daemon `rank` of `daemons` gets the token
/// when the wall clock reaches its place in a round in which each daemon has one. The
/// number of tokens at any time is then nearly constant, whereas independent random draws
/// of 402 daemons exceeded the limit of one second in up to 1 of 10 bursts. If clocks or
/// lists of daemons differ, places overlap at random, which is no worse than such draws.
#[derive(Debug)]
pub struct ColdLimits {
    by_upstream: RefCell<HashMap<String, ColdLimit>>,
    bounds: Cell<ColdBounds>,
    daemons: Cell<usize>,
    rank: Cell<usize>,
}

impl ColdLimits {
    /// Returns limits without cold upstreams, for a single daemon.
    pub fn new(bounds: ColdBounds) -> Self {
        Self {
            by_upstream: RefCell::default(),
            bounds: Cell::new(bounds),
            daemons: Cell::new(1),
            rank: Cell::new(0),
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
    pub fn set_bounds(&self, bounds: ColdBounds, boot: Millis) {
        self.bounds.set(bounds);
        self.update_shares(boot);
    }

    /// Sets the number of daemons that share each limit, and this daemon's rank among them.
    pub fn set_daemons(&self, daemons: usize, rank: usize, boot: Millis) {
        self.daemons.set(daemons.max(1));
        self.rank.set(rank);
        self.update_shares(boot);
    }

    fn update_shares(&self, boot: Millis) {
        let (burst, daemons) = (self.bounds.get().burst(), self.daemons.get());
        for limit in self.by_upstream.borrow_mut().values_mut() {
            limit.share.set_burst(burst);
            limit.share.set(limit.period.per_second, daemons, boot);
        }
    }

    /// Sets for how long an upstream is cold; `true` if it was not cold before. Its share
    /// begins without tokens.
    pub fn set(&self, upstream: &str, period: Option<ColdPeriod>, boot: Millis) -> bool {
        let mut all = self.by_upstream.borrow_mut();
        all.retain(|_, limit| limit.period.until > boot);
        let Some(period) = period.filter(|p| p.until > boot) else {
            all.remove(upstream);
            return false;
        };
        let daemons = self.daemons.get();
        if let Some(known) = all.get_mut(upstream) {
            if known.period.per_second != period.per_second {
                known.share.set(period.per_second, daemons, boot);
            }
            known.period = period;
            return false;
        }
        let burst = self.bounds.get().burst();
        let share = RateShare::with_burst(period.per_second, daemons, burst, boot);
        all.insert(upstream.to_owned(), ColdLimit { period, share });
        true
    }

    /// Returns the time until this daemon's share allows a request, zero if it does or the
    /// upstream is not cold. `place`, from 0 to 1, is that of the upstream among those of
    /// its service: this daemon's turns for them are spread.
    pub fn wait(&self, upstream: &str, place: f64, times: Times) -> Millis {
        let all = self.by_upstream.borrow();
        let active = all.get(upstream).filter(|l| l.period.until > times.boot);
        let Some(limit) = active else {
            return Millis::ZERO;
        };
        let per_ms = limit.share.per_ms();
        let part = self.rank.get() as f64 / self.daemons.get() as f64;
        let turn = (times.wall.0 as f64 * per_ms + part + place).fract();
        let next_turn = || Millis(((1.0 - turn) / per_ms).ceil() as u64);
        let wait = limit.share.wait(turn, times.boot);
        let left = limit.period.until.since(times.boot);
        wait.unwrap_or_else(next_turn).min(left)
    }

    /// Returns this daemon's share of a limit, in requests per millisecond; `None` if the
    /// upstream is not cold.
    pub fn per_ms(&self, upstream: &str, boot: Millis) -> Option<f64> {
        let all = self.by_upstream.borrow();
        let active = all.get(upstream).filter(|l| l.period.until > boot);
        active.map(|limit| limit.share.per_ms())
    }

    /// Takes this daemon's token for a request to an upstream, if that is cold.
    pub fn spend(&self, upstream: &str, boot: Millis) {
        if let Some(limit) = self.by_upstream.borrow_mut().get_mut(upstream) {
            limit.share.spend(boot);
        }
    }

    /// Returns the token of a request that the upstream did not count.
    pub fn give_back(&self, upstream: &str, boot: Millis) {
        if let Some(limit) = self.by_upstream.borrow_mut().get_mut(upstream) {
            limit.share.give_back(boot);
        }
    }
}
