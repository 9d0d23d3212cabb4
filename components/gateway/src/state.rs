//! The shared state of a gateway.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use discovery::Follower;
use slog::Logger;
use telemetry::Recorder;
use transport::{Event, ServerLimits};

use crate::crash_sharing::CrashSharing;
use crate::fleet::Fleet;
use crate::in_flight::InFlight;
use crate::peer_forward::PeerForwarder;
use crate::quotas::Quotas;
use crate::route_limiters::RouteLimiters;
use crate::settings::Settings;
use crate::shutdown_schedule::ShutdownSchedule;
use crate::wire::WireFormat;

/// The components and the state of a gateway.
pub(crate) struct Gateway {
    pub(crate) settings: RefCell<Settings>,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) follower: Rc<Follower>,
    pub(crate) directory: discovery::SharedDirectory,
    pub(crate) crash_sharing: Rc<CrashSharing>,
    pub(crate) peer_forwarder: Rc<PeerForwarder>,
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) limiters: RouteLimiters,
    pub(crate) wire: Rc<dyn WireFormat>,
    pub(crate) recorder: Recorder,
    /// The times of the shutdown, from the stop signal on.
    pub(crate) shutdown: Cell<Option<ShutdownSchedule>>,
    /// Happens when all requests in flight must be answered at once.
    pub(crate) answers_due: Event,
    /// Requests that are not answered yet.
    pub(crate) in_flight: Rc<InFlight>,
    /// Requests that run in tasks of their own, so that they continue if their
    /// callers disconnect.
    pub(crate) detached: Rc<InFlight>,
    pub(crate) caller_connections: Rc<Cell<usize>>,
    /// Limits for new connections from callers.
    pub(crate) caller_limits: Rc<Cell<ServerLimits>>,
    pub(crate) caller_shutdown: Event,
    pub(crate) log: Logger,
}

impl Gateway {
    /// Whether a stop signal has arrived.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns why this daemon should get no new connections; `None` if it is
    /// ready.
    pub(crate) fn unready_reason(&self) -> Option<&'static str> {
        match () {
            () if self.is_leaving() => Some("this daemon is shutting down"),
            () if self.fleet.table().is_none() => Some("no configuration is in force yet"),
            () if self.has_no_links() => Some("no upstream and no other daemon is reachable"),
            () => None,
        }
    }

    /// Whether this daemon reaches no upstream and found no other daemon that does.
    fn has_no_links(&self) -> bool {
        self.fleet.shared().links.are_cut() && self.peer_forwarder.has_failed()
    }

    /// Returns why this daemon takes no requests of a daemon that has a version of the
    /// configuration in force; `None` if it does. An older one would undo what the
    /// caller has seen.
    pub(crate) fn handover_obstacle(&self, version: u64) -> Option<&'static str> {
        let known = self.fleet.table().map_or(0, |table| table.version);
        match () {
            () if self.is_leaving() => Some("leaving"),
            () if self.fleet.shared().links.are_cut() => Some("no links"),
            () if known < version => Some("older configuration"),
            () => None,
        }
    }
}
