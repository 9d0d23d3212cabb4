//! The components and state of a daemon, which its interfaces share.

use std::cell::Cell;
use std::rc::Rc;

use clock::Millis;
use ledger::Ledger;
use members::Members;
use query::{Outcomes, Root, Server};
use settings::Settings;
use slog::Logger;
use telemetry::Recorder;
use transport::Event;
use upstreams::Pools;

use crate::in_flight::InFlight;
use crate::sync::CatalogSync;

/// The components and state of a daemon.
pub(crate) struct Daemon {
    pub(crate) settings: Settings,
    pub(crate) members: Rc<Members>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) ledger: Rc<Ledger>,
    pub(crate) outcomes: Rc<Outcomes>,
    pub(crate) server: Rc<Server>,
    pub(crate) root: Rc<Root>,
    pub(crate) sync: Rc<CatalogSync>,
    pub(crate) recorder: Recorder,
    pub(crate) is_leaving: Cell<bool>,
    /// Happens when an operator requests that this daemon leaves.
    pub(crate) leave_signal: Event,
    pub(crate) started: Millis,
    pub(crate) in_flight: Rc<InFlight>,
    pub(crate) callers_open: Rc<Cell<usize>>,
    pub(crate) peers_open: Rc<Cell<usize>>,
    pub(crate) callers_shutdown: Event,
    pub(crate) peers_shutdown: Event,
    pub(crate) log: Logger,
}

impl Daemon {
    /// Returns why this daemon should receive no requests, or `None` if it is
    /// ready.
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
