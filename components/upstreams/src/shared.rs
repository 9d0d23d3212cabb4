//! What all pools of a daemon share.

use std::cell::RefCell;
use std::rc::Rc;

use catalog::Topology;
use slog::Logger;
use telemetry::RequestLogLimiter;

use crate::drains::Drains;
use crate::suspects::{STRIKES_TO_QUARANTINE, Suspects};

/// Tells whether this daemon owns a group of a topology.
pub type OwnsGroup = dyn Fn(&Topology, usize) -> bool;

/// How the engine reads failures, and which upstreams it prefers.
#[derive(Clone, Debug)]
pub struct Habits {
    /// Failures in a row after which an upstream rests.
    pub failures_to_eject: u32,
    /// Whether a lost connection counts as a crash only once the upstream
    /// refuses connections.
    pub confirms_crashes: bool,
    /// Crashes after which a request is refused.
    pub strikes: usize,
    /// Failure domain whose upstreams are preferred.
    pub domain: Option<String>,
}

impl Default for Habits {
    fn default() -> Self {
        Self {
            failures_to_eject: 1,
            confirms_crashes: false,
            strikes: STRIKES_TO_QUARANTINE,
            domain: None,
        }
    }
}

/// What all pools of a daemon share.
pub struct Shared {
    /// Marks of leaving upstreams.
    pub drains: Drains,
    /// Requests that may crash upstreams.
    pub suspects: Suspects,
    /// Called when there is news that peers should hear at once.
    pub news: RefCell<Option<Rc<dyn Fn()>>>,
    /// Whether this daemon owns a group, by the key of the group.
    pub owns: RefCell<Option<Rc<OwnsGroup>>>,
    /// Bounds the lines about single requests.
    pub lines: RequestLogLimiter,
    /// How failures are read.
    pub habits: Habits,
    /// The log.
    pub log: Logger,
}

impl Shared {
    /// Returns the state that a new daemon starts with.
    pub fn new(log: &Logger) -> Rc<Self> {
        Self::with_habits(log, Habits::default())
    }

    /// Returns the state of a new daemon with habits of its own.
    pub fn with_habits(log: &Logger, habits: Habits) -> Rc<Self> {
        Rc::new(Self {
            drains: Drains::default(),
            suspects: Suspects::new(habits.strikes),
            news: RefCell::default(),
            owns: RefCell::default(),
            lines: RequestLogLimiter::new(log),
            habits,
            log: log.clone(),
        })
    }

    pub(crate) fn tell_news(&self) {
        let news = self.news.borrow().clone();
        if let Some(tell) = news {
            tell();
        }
    }

    pub(crate) fn is_owned(&self, topology: &Topology, group: usize) -> bool {
        let owns = self.owns.borrow().clone();
        owns.is_none_or(|owns| owns(topology, group))
    }
}
