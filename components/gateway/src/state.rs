//! What the parts of a gateway share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use discovery::Follower;
use slog::Logger;
use telemetry::Recorder;
use transport::{ServerLimits, Shutdown};

use crate::fleet::Fleet;
use crate::gate::Gate;
use crate::settings::Settings;
use crate::wire::Wire;

/// Everything that a gateway consists of.
pub(crate) struct Gateway {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) follower: Rc<Follower>,
    pub(crate) directory: discovery::SharedDirectory,
    pub(crate) gate: Gate,
    pub(crate) wire: Rc<dyn Wire>,
    pub(crate) recorder: Recorder,
    pub(crate) is_leaving: Cell<bool>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) callers_open: Rc<Cell<usize>>,
    /// Limits of new connections of callers.
    pub(crate) caller_limits: Rc<Cell<ServerLimits>>,
    pub(crate) callers_shutdown: Shutdown,
    pub(crate) log: Logger,
}

impl Gateway {
    /// Why this daemon should get no new connections, if there is a reason.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        match () {
            () if self.is_leaving.get() => Some("this daemon is shutting down"),
            () if self.fleet.table().is_none() => Some("no configuration is known yet"),
            () => None,
        }
    }
}
