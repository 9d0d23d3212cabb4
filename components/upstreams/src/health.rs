//! Observed and reported health of an upstream; observed outcomes take
//! precedence over reports.

use clock::Millis;
use serde::Serialize;

use crate::message::DataVersion;
use crate::wire::ReportedState;

const SLOW_ANSWERS_TO_EJECT: u32 = 3;
const FIRST_EJECTION: Millis = Millis(500);
const LONGEST_EJECTION: Millis = Millis(8_000);
const CONNECTION_REFUSED_PAUSE: Millis = Millis(200);
// A report of bad health is ignored for this long after an answer.
const SUCCESS_VALIDITY: Millis = Millis(2_000);
const FAILING_WEIGHT: f64 = 0.15;
const FAILING_HALF_LIFE: Millis = Millis(2_000);
const LOAD_VALIDITY: Millis = Millis(2_000);

/// How much an upstream is preferred; lower tiers are used first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// No failures known.
    Good,
    /// Reported unhealthy, or had failures or slow answers recently.
    Poor,
    /// Used only if no other is available, for a while after failures or slow
    /// answers.
    Ejected,
}

/// Observed and reported health.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Health {
    pub(crate) failures: u32,
    failures_to_eject: u32,
    pub(crate) slow: u32,
    ejections: u32,
    last_success: Millis,
    pub(crate) ejected_until: Millis,
    /// Requests that may run at the same time while the upstream warms up.
    pub(crate) ramp: usize,
    pub(crate) reported: ReportedState,
    pub(crate) boot: String,
    pub(crate) holds: Option<Vec<DataVersion>>,
    /// Share of the last requests that failed, as of `failing_at`.
    failing: f64,
    failing_at: Millis,
    load: f64,
    load_at: Millis,
    is_load_answered: bool,
}

impl Health {
    pub(crate) fn new(failures_to_eject: u32) -> Self {
        Self {
            failures_to_eject,
            ramp: 1,
            ..Self::default()
        }
    }

    pub(crate) fn tier(&self, now: Millis) -> Tier {
        match () {
            () if now < self.ejected_until => Tier::Ejected,
            () if self.is_failing() || self.ejections > 0 || self.is_reported_bad(now) => {
                Tier::Poor
            }
            () => Tier::Good,
        }
    }

    /// Whether as many requests in a row failed as eject an upstream.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures >= self.failures_to_eject.max(1)
    }

    fn is_reported_bad(&self, now: Millis) -> bool {
        let is_refuted =
            now.since(self.last_success) < SUCCESS_VALIDITY && self.last_success > Millis::ZERO;
        self.reported == ReportedState::Failing && !is_refuted
    }

    /// Records an answer; only an answer that was not slow ends the
    /// effect of earlier ejections.
    pub(crate) fn record_success(&mut self, slots: usize, is_slow: bool, now: Millis) {
        self.last_success = now;
        self.failures = 0;
        self.ramp = (self.ramp + 1).min(slots);
        if is_slow {
            return self.record_slow(now);
        }
        self.slow = 0;
        self.ejections = 0;
        self.ejected_until = Millis::ZERO;
    }

    /// Records a request that failed while it ran.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.is_failing() {
            self.ramp = 1;
            self.eject(now);
        }
    }

    /// Records a request that was slow or whose hedge was answered first. The
    /// upstream keeps its slots because it may be the last replica.
    pub(crate) fn record_slow(&mut self, now: Millis) {
        self.slow += 1;
        if self.slow >= SLOW_ANSWERS_TO_EJECT || self.ejections > 0 {
            self.eject(now);
        }
    }

    /// Records that the address refused a connection.
    pub(crate) fn record_refused(&mut self, now: Millis) {
        self.failures += self.failures_to_eject.max(1);
        self.ramp = 1;
        self.ejected_until = self.ejected_until.max(now + CONNECTION_REFUSED_PAUSE);
    }

    /// Records whether a request failed, for any reason.
    pub(crate) fn record_outcome(&mut self, has_failed: bool, now: Millis) {
        let outcome = f64::from(u8::from(has_failed));
        let share = self.failing_share(now);
        self.failing = share + FAILING_WEIGHT * (outcome - share);
        self.failing_at = now;
    }

    /// Returns the share of requests that fail; old outcomes count less, so
    /// that the upstream is tried again.
    pub(crate) fn failing_share(&self, now: Millis) -> f64 {
        let halvings = now.since(self.failing_at).0 as f64 / FAILING_HALF_LIFE.0 as f64;
        self.failing * 0.5_f64.powf(halvings)
    }

    fn eject(&mut self, now: Millis) {
        let doubled = FIRST_EJECTION.0.saturating_mul(1 << self.ejections.min(8));
        let duration = Millis(doubled.min(LONGEST_EJECTION.0));
        self.ejections += 1;
        self.ejected_until = now + duration;
    }

    /// Records a load that an answer reported.
    pub(crate) fn record_answered_load(&mut self, load: f64, now: Millis) {
        self.load = load;
        self.load_at = now;
        self.is_load_answered = true;
    }

    /// Records a polled load, unless an answer reported a load recently.
    pub(crate) fn record_polled_load(&mut self, load: f64, now: Millis) {
        let is_recent = now.since(self.load_at) < LOAD_VALIDITY;
        if !(self.is_load_answered && is_recent) {
            self.load = load;
            self.load_at = now;
            self.is_load_answered = false;
        }
    }

    /// Forgets failures and slow answers.
    pub(crate) fn forget_failures(&mut self) {
        *self = Self {
            failures_to_eject: self.failures_to_eject,
            reported: self.reported,
            boot: std::mem::take(&mut self.boot),
            holds: self.holds.take(),
            ramp: self.ramp,
            ..Self::default()
        };
    }

    /// Returns the last reported load, from 0 to 1; 0 if the report is too old.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        match now.since(self.load_at) < LOAD_VALIDITY {
            true => self.load.clamp(0.0, 1.0),
            false => 0.0,
        }
    }

    /// Whether the upstream holds a version; `true` if its versions are unknown.
    pub(crate) fn is_held(&self, version: &DataVersion) -> bool {
        self.holds
            .as_ref()
            .is_none_or(|list| list.contains(version))
    }

    /// Records an answer that the upstream does not hold a version.
    pub(crate) fn record_not_held(&mut self, version: &DataVersion) {
        if let Some(list) = &mut self.holds {
            list.retain(|h| h != version);
        }
    }
}
