//! State that all pools of a daemon share.

use std::cell::RefCell;
use std::rc::Rc;

use catalog::Topology;
use slog::Logger;
use telemetry::RequestLogLimiter;

use crate::crashes::{CrashTable, DEFAULT_CRASH_LIMIT};
use crate::drains::Drains;

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
    /// Failure domain whose upstreams are preferred.
    pub preferred_domain: Option<String>,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            failures_to_eject: 1,
            confirms_crashes: false,
            crash_limit: DEFAULT_CRASH_LIMIT,
            preferred_domain: None,
        }
    }
}

/// State that all pools of a daemon share.
pub struct Shared {
    /// Marks of leaving upstreams.
    pub drains: Drains,
    /// Crashes of upstreams, by the requests that ran there.
    pub crashes: CrashTable,
    /// Called when the marks or crashes have changed and peers should be
    /// notified at once.
    pub peer_notifier: RefCell<Option<Rc<dyn Fn()>>>,
    /// Decides whether this daemon owns a group; without it, the daemon owns
    /// all groups.
    pub owns_group: RefCell<Option<Rc<OwnsGroup>>>,
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
            crashes: CrashTable::new(config.crash_limit),
            peer_notifier: RefCell::default(),
            owns_group: RefCell::default(),
            log_limiter: RequestLogLimiter::new(log),
            config,
            log: log.clone(),
        })
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
