//! Builds a gateway and runs it until it is told to stop.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use axum::Router;
use discovery::{Decode, Directory, Feed, Follower, InstanceEntry, Leases, Registration};
use routes::Limits;
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};
use telemetry::Recorder;
use transport::{Listener, ServerLimits, Shutdown, serve, serve_with_shared_limits};

use crate::admin;
use crate::fleet::Fleet;
use crate::gate::Gate;
use crate::handler;
use crate::reload::{self, HangupFlag, ReadSettings};
use crate::settings::Settings;
use crate::shutdown;
use crate::state::Gateway;
use crate::wire::Wire;

/// Single answers are lost without a fault of the upstream.
const FAILURES_TO_EJECT: u32 = 3;

/// Callers' paths repeat, so that a request that ran beside two crashes by
/// chance must not be refused.
const STRIKES_TO_QUARANTINE: usize = 3;

/// Result of running a gateway.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a gateway could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// What the listener said.
        source: transport::Error,
    },
    /// A signal handler could not be installed.
    #[snafu(display("could not handle signals: {source}"))]
    Signal {
        /// What the operating system said.
        source: std::io::Error,
    },
}

/// The platform as a gateway uses it.
pub struct Parts {
    /// Source of records.
    pub feed: Rc<dyn Feed>,
    /// Reads the records.
    pub decoder: Rc<dyn Decode>,
    /// Keeps the registration.
    pub leases: Rc<dyn Leases>,
    /// Headers of callers and upstreams.
    pub wire: Rc<dyn Wire>,
    /// Reads the settings again.
    pub reload: Box<ReadSettings>,
}

/// Runs a gateway until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run(settings: Settings, parts: Parts, recorder: Recorder, log: Logger) -> Result<()> {
    let hangup = HangupFlag::install().context(SignalSnafu)?;
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let peers = bind(settings.peers).await?;
    let metrics = bind(settings.metrics).await?;
    info!(log, "started"; "callers" => %callers.address, "ready" => %ready.address,
        "peers" => %peers.address, "metrics" => %metrics.address, "domain" => &settings.domain);
    let instance = InstanceEntry {
        name: settings.instance.clone(),
        address: settings.peers,
        domain: settings.domain.clone(),
    };
    let registration = Registration::new(parts.leases.clone(), instance, &log);
    let gateway = build(settings, &parts, recorder, &log);
    start_tasks(&gateway, &registration);
    compio::runtime::spawn(reload::run(gateway.clone(), hangup, parts.reload)).detach();
    start_server(ready, admin::ready_router(&gateway));
    start_server(peers, admin::peer_router(&gateway));
    start_server(metrics, admin::metrics_router(&gateway));
    let serving = serve_with_shared_limits(
        callers,
        handler::router(&gateway),
        gateway.caller_limits.clone(),
        gateway.callers_shutdown.clone(),
        gateway.callers_open.clone(),
    );
    compio::runtime::spawn(serving).detach();
    transport::stop_signal().await;
    shutdown::drain(&gateway, &registration).await;
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<Listener> {
    Listener::bind(address).await.context(BindSnafu)
}

fn build(settings: Settings, parts: &Parts, recorder: Recorder, log: &Logger) -> Rc<Gateway> {
    let directory = Rc::new(RefCell::new(Directory::new(parts.decoder.clone())));
    let follower = Follower::new(
        parts.feed.clone(),
        directory.clone(),
        settings.seeds.clone(),
        settings.peers,
        log,
    );
    let habits = upstreams::Habits {
        failures_to_eject: FAILURES_TO_EJECT,
        confirms_crashes: true,
        strikes: STRIKES_TO_QUARANTINE,
        domain: Some(settings.domain.clone()),
    };
    let shared = upstreams::Shared::with_habits(log, habits);
    let fleet = Fleet::new(&shared, settings.budgets);
    let (updated, limits) = (
        fleet.clone(),
        Rc::new(Cell::new(server_limits(&Limits::default()))),
    );
    let caller_limits = limits.clone();
    follower.add_listener(move |directory| {
        updated.update(directory);
        if let Some(table) = updated.table() {
            limits.set(server_limits(&table.limits));
        }
    });
    Rc::new(Gateway {
        settings: RefCell::new(settings),
        fleet,
        follower,
        directory,
        gate: Gate::default(),
        wire: parts.wire.clone(),
        recorder,
        is_leaving: Cell::new(false),
        in_flight: Cell::new(0),
        caller_limits,
        callers_open: Rc::default(),
        callers_shutdown: Shutdown::default(),
        log: log.clone(),
    })
}

/// The HTTP library bounds the time until a request's headers are there,
/// which includes the time that a connection stays idle before.
fn server_limits(limits: &Limits) -> ServerLimits {
    ServerLimits {
        header_timeout: limits.header_timeout.max(limits.idle_timeout),
        header_bytes: u32::try_from(limits.header_bytes).unwrap_or(u32::MAX),
        ..ServerLimits::default()
    }
}

fn start_tasks(gateway: &Rc<Gateway>, registration: &Rc<Registration>) {
    let follower = &gateway.follower;
    compio::runtime::spawn(follower.clone().follow_store()).detach();
    compio::runtime::spawn(follower.clone().follow_peers()).detach();
    compio::runtime::spawn(registration.clone().run()).detach();
}

fn start_server(listener: Listener, router: Router) {
    let limits = ServerLimits::default();
    let serving = serve(listener, router, limits, Shutdown::default(), Rc::default());
    compio::runtime::spawn(serving).detach();
}
