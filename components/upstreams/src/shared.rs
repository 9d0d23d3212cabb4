//! What all pools of a daemon share.

use std::cell::RefCell;
use std::rc::Rc;

use catalog::Topology;
use slog::Logger;
use telemetry::RequestLines;

use crate::crashes::{CrashTable, STRIKES_TO_QUARANTINE};
use crate::drains::Drains;

/// Tells whether this daemon owns a group of a topology.
pub type OwnsGroup = dyn Fn(&Topology, usize) -> bool;

/// How the engine reads failures, and which upstreams it prefers.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Failures in a row after which an upstream rests.
    pub failures_to_eject: u32,
    /// Whether a lost connection counts as a crash only once the upstream
    /// refuses connections.
    pub confirms_crashes: bool,
    /// Crashes after which a request is refused.
    pub crash_limit: usize,
    /// Failure domain whose upstreams are preferred.
    pub preferred_domain: Option<String>,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            failures_to_eject: 1,
            confirms_crashes: false,
            crash_limit: STRIKES_TO_QUARANTINE,
            preferred_domain: None,
        }
    }
}

/// What all pools of a daemon share.
pub struct Shared {
    /// Marks of leaving upstreams.
    pub drains: Drains,
    /// Requests that may crash upstreams.
    pub crashes: CrashTable,
    /// Called when there is news that peers should hear at once.
    pub peer_notifier: RefCell<Option<Rc<dyn Fn()>>>,
    /// Whether this daemon owns a group, by the key of the group.
    pub owns_group: RefCell<Option<Rc<OwnsGroup>>>,
    /// Bounds the lines about single requests.
    pub lines: RequestLines,
    /// How failures are read.
    pub config: PoolConfig,
    /// The log.
    pub log: Logger,
}

impl Shared {
    /// Returns the state that a new daemon starts with.
    pub fn new(log: &Logger) -> Rc<Self> {
        Self::with_config(log, PoolConfig::default())
    }

    /// Returns the state of a new daemon with habits of its own.
    pub fn with_config(log: &Logger, config: PoolConfig) -> Rc<Self> {
        Rc::new(Self {
            drains: Drains::default(),
            crashes: CrashTable::new(config.crash_limit),
            peer_notifier: RefCell::default(),
            owns_group: RefCell::default(),
            lines: RequestLines::new(log),
            config,
            log: log.clone(),
        })
    }

    pub(crate) fn notify_peers(&self) {
        let news = self.peer_notifier.borrow().clone();
        if let Some(tell) = news {
            tell();
        }
    }

    pub(crate) fn is_owned(&self, topology: &Topology, group: usize) -> bool {
        let owns = self.owns_group.borrow().clone();
        owns.is_none_or(|owns| owns(topology, group))
    }
}
