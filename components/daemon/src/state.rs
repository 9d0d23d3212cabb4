//! The parts of a daemon, as its interfaces use them.

use std::cell::Cell;
use std::rc::Rc;

use clock::Millis;
use ledger::Ledger;
use members::Members;
use query::{Outcomes, Root, Server};
use settings::Settings;
use slog::Logger;
use telemetry::Recorder;
use transport::Shutdown;
use upstreams::Pools;

use crate::sync::Sync;

/// Everything that a daemon consists of.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    pub(crate) members: Rc<Members>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) ledger: Rc<Ledger>,
    pub(crate) outcomes: Rc<Outcomes>,
    pub(crate) server: Rc<Server>,
    pub(crate) root: Rc<Root>,
    pub(crate) sync: Rc<Sync>,
    pub(crate) recorder: Recorder,
    pub(crate) is_leaving: Cell<bool>,
    /// Begins when an operator asks this daemon to leave.
    pub(crate) departure: Shutdown,
    pub(crate) started: Millis,
    pub(crate) callers_open: Rc<Cell<usize>>,
    pub(crate) callers_shutdown: Shutdown,
    pub(crate) peers_shutdown: Shutdown,
    pub(crate) log: Logger,
}

impl Daemon {
    /// Why this daemon should get no requests, if there is a reason.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        match () {
            () if self.is_leaving.get() => Some("this daemon is shutting down"),
            () if self.root.catalog().revision() == 0 => {
                Some("no configuration is in force on this daemon yet")
            }
            () if !self.sync.is_confirmed() => {
                Some("neither the store nor a peer confirmed the revision in force")
            }
            () => None,
        }
    }
}
