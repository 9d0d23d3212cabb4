//! State that all pools of a daemon share.

use std::cell::RefCell;
use std::rc::Rc;

use catalog::Topology;
use clock::Millis;
use slog::Logger;
use telemetry::RequestLogLimiter;
use transport::ResponseMemory;

use crate::abandoned::Unwatched;
use crate::backoffs::Backoffs;
use crate::cold_limits::{ColdBounds, ColdLimits};
use crate::crashes::{CrashTable, DEFAULT_CRASH_LIMIT};
use crate::drains::Drains;
use crate::failure::Result;
use crate::known_upstreams::KnownUpstreams;
use crate::links::Links;
use crate::rate_limits::RateLimits;
use crate::silence::SilentUpstreams;

/// Decides whether this daemon owns a group of a topology.
pub type OwnsGroup = dyn Fn(&Topology, usize) -> bool;

/// How failures are interpreted, and which upstreams are preferred.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Failures in a row after which an upstream is ejected.
    pub failures_to_eject: u32,
    /// Whether a lost connection counts as a crash only once the upstream
    /// refuses connections.
    pub confirms_crashes: bool,
    /// Crashes after which a request is quarantined.
    pub crash_limit: usize,
    /// Time after the last crash under a request before it is refused: what peers
    /// know may explain the crash by another request.
    pub settle_time: Millis,
    /// Failure domain whose upstreams are preferred.
    pub preferred_domain: Option<String>,
    /// What a cold upstream may get in any one second.
    pub cold_bounds: ColdBounds,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            failures_to_eject: 1,
            confirms_crashes: false,
            crash_limit: DEFAULT_CRASH_LIMIT,
            settle_time: Millis::ZERO,
            preferred_domain: None,
            cold_bounds: ColdBounds::default(),
        }
    }
}

/// State that all pools of a daemon share.
pub struct Shared {
    /// Marks of leaving upstreams.
    pub drains: Drains,
    /// Upstreams that asked for backoff.
    pub backoffs: Backoffs,
    /// Limits on the rate of requests that upstreams named.
    pub rate_limits: RateLimits,
    /// Limits on the rate of requests of cold upstreams.
    pub cold_limits: ColdLimits,
    /// The upstreams of all pools.
    pub(crate) upstreams: KnownUpstreams,
    /// Upstreams where requests were cancelled.
    pub(crate) unwatched: Unwatched,
    /// Upstreams that fell silent.
    pub(crate) silent: SilentUpstreams,
    /// The links of this daemon to all upstreams together.
    pub links: Links,
    /// Crashes of upstreams, by the requests that ran there.
    pub crashes: CrashTable,
    /// Called when the marks or crashes have changed and peers should be
    /// notified at once.
    pub peer_notifier: RefCell<Option<Rc<dyn Fn()>>>,
    /// Decides whether this daemon owns a group; without it, the daemon owns
    /// all groups.
    pub owns_group: RefCell<Option<Rc<OwnsGroup>>>,
    /// The memory of large answers, those of other daemons included.
    pub answer_memory: Rc<ResponseMemory>,
    /// Limits the log lines about single requests.
    pub log_limiter: RequestLogLimiter,
    /// Settings of the pools.
    pub config: PoolConfig,
    /// The log.
    pub log: Logger,
}

impl Shared {
    /// Returns the state that a new daemon starts with.
    pub fn new(log: &Logger) -> Rc<Self> {
        Self::with_config(log, PoolConfig::default())
    }

    /// Returns the state that a new daemon with the given settings starts with.
    pub fn with_config(log: &Logger, config: PoolConfig) -> Rc<Self> {
        Rc::new(Self {
            drains: Drains::default(),
            backoffs: Backoffs::default(),
            rate_limits: RateLimits::default(),
            cold_limits: ColdLimits::new(config.cold_bounds),
            upstreams: KnownUpstreams::default(),
            unwatched: Unwatched::default(),
            silent: SilentUpstreams::default(),
            links: Links::default(),
            crashes: CrashTable::new(config.crash_limit),
            peer_notifier: RefCell::default(),
            owns_group: RefCell::default(),
            answer_memory: Rc::default(),
            log_limiter: RequestLogLimiter::new(log),
            config,
            log: log.clone(),
        })
    }

    /// Fails if a request is quarantined; waits first until the crashes under it are
    /// [settled](PoolConfig::settle_time), unless its deadline comes sooner.
    ///
    /// # Errors
    ///
    /// The failure tells the time until the quarantine ends.
    pub async fn check_quarantine(&self, fingerprint: u64, deadline: Millis) -> Result<()> {
        while !self.crashes.is_empty() {
            let now = Millis::now();
            let Some(failure) = self.crashes.quarantine_failure(fingerprint, now) else {
                return Ok(());
            };
            let age = self.crashes.last_crash_age(fingerprint, now);
            let left = self.config.settle_time - age;
            if left == Millis::ZERO || now + left >= deadline {
                return Err(failure);
            }
            compio::time::sleep(left.into()).await;
        }
        Ok(())
    }

    pub(crate) fn notify_peers(&self) {
        let notifier = self.peer_notifier.borrow().clone();
        if let Some(notify) = notifier {
            notify();
        }
    }

    pub(crate) fn is_owned(&self, topology: &Topology, group: usize) -> bool {
        let owns = self.owns_group.borrow().clone();
        owns.is_none_or(|owns| owns(topology, group))
    }
}
