//! Builds a gateway and runs it until a stop signal arrives.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use axum::Router;
use clock::Millis;
use discovery::{
    CrashRecords, Decode, Directory, Feed, Follower, InstanceEntry, Leases, Registration,
    SharedDirectory,
};
use routes::Limits;
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};
use telemetry::Recorder;
use transport::{Event, Listener, ServerLimits, serve, serve_with_shared_limits};
use upstreams::Shared;

use crate::admin;
use crate::crash_sharing::CrashSharing;
use crate::fleet::Fleet;
use crate::handler;
use crate::link_watch;
use crate::peer_forward::PeerForwarder;
use crate::quotas::Quotas;
use crate::reload::{self, HangupFlag, ReadSettings};
use crate::route_limiters::RouteLimiters;
use crate::settings::Settings;
use crate::shutdown;
use crate::state::Gateway;
use crate::wire::WireFormat;

/// Single answers can be lost without a fault of the upstream.
const FAILURES_TO_EJECT: u32 = 3;

/// Callers' paths repeat, so a request can be running during two crashes by
/// chance; it must not be refused for that.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Peers are told of a crash within this time.
const CRASH_SETTLE_TIME: Millis = Millis(100);

/// Headers of a request that a peer hands over, which the limit for its caller bounds.
const PEER_HEADER_BYTES: u32 = 256 * 1024;

/// Result of running a gateway.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a gateway could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// Error from the listener.
        source: transport::Error,
    },
    /// The SIGHUP handler could not be installed.
    #[snafu(display("could not install the SIGHUP handler: {source}"))]
    Signal {
        /// Error from the operating system.
        source: std::io::Error,
    },
}

/// The platform-specific implementations that a gateway uses.
pub struct PlatformAdapters {
    /// Source of the store's records.
    pub feed: Rc<dyn Feed>,
    /// Decodes the records.
    pub decoder: Rc<dyn Decode>,
    /// Registers this daemon in the store and renews its lease.
    pub leases: Rc<dyn Leases>,
    /// Writes the crashes of upstreams to the store.
    pub crashes: Rc<dyn CrashRecords>,
    /// Reads and writes the headers of callers and upstreams.
    pub wire: Rc<dyn WireFormat>,
    /// Reads the settings for a reload.
    pub read_settings: Box<ReadSettings>,
}

/// Runs a gateway until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if an address cannot be bound or the SIGHUP handler cannot be
/// installed.
pub async fn run(
    settings: Settings,
    adapters: PlatformAdapters,
    recorder: Recorder,
    log: Logger,
) -> Result<()> {
    let hangup = HangupFlag::install().context(SignalSnafu)?;
    let callers = bind(settings.caller_address).await?;
    let ready = bind(settings.ready_address).await?;
    let peers = bind(settings.peer_address).await?;
    let metrics = bind(settings.metrics_address).await?;
    info!(log, "started"; "callers" => %callers.address, "ready" => %ready.address,
        "peers" => %peers.address, "metrics" => %metrics.address, "domain" => &settings.domain);
    let instance = own_entry(&settings);
    let registration = Registration::new(adapters.leases.clone(), instance, &log);
    let gateway = build(settings, &adapters, recorder, &log);
    start_tasks(&gateway, &registration);
    compio::runtime::spawn(reload::run(gateway.clone(), hangup, adapters.read_settings)).detach();
    let limits = ServerLimits::default();
    let peer_limits = ServerLimits {
        header_bytes: PEER_HEADER_BYTES,
        ..limits
    };
    start_server(ready, admin::ready_router(&gateway), limits);
    start_server(peers, admin::peer_router(&gateway), peer_limits);
    start_server(metrics, admin::metrics_router(&gateway), limits);
    let serving = serve_with_shared_limits(
        callers,
        handler::router(&gateway),
        gateway.caller_limits.clone(),
        gateway.caller_shutdown.clone(),
        gateway.caller_connections.clone(),
    );
    compio::runtime::spawn(serving).detach();
    let _guard = transport::stop_signal().await;
    shutdown::drain(&gateway, registration).await;
    Ok(())
}

/// Returns the entry under which this daemon registers.
fn own_entry(settings: &Settings) -> InstanceEntry {
    InstanceEntry {
        name: settings.instance.clone(),
        address: settings.peer_address,
        domain: settings.domain.clone(),
        millicores: settings.millicores,
    }
}

async fn bind(address: SocketAddr) -> Result<Listener> {
    Listener::bind(address).await.context(BindSnafu)
}

fn build(
    settings: Settings,
    adapters: &PlatformAdapters,
    recorder: Recorder,
    log: &Logger,
) -> Rc<Gateway> {
    let directory = Rc::new(RefCell::new(Directory::new(adapters.decoder.clone())));
    let follower = Follower::new(
        adapters.feed.clone(),
        directory.clone(),
        settings.seeds.clone(),
        settings.peer_address,
        settings.heartbeat,
        log,
    );
    let config = upstreams::PoolConfig {
        failures_to_eject: FAILURES_TO_EJECT,
        confirms_crashes: true,
        crash_limit: CRASHES_TO_QUARANTINE,
        settle_time: CRASH_SETTLE_TIME,
        preferred_domain: Some(settings.domain.clone()),
        cold_bounds: settings.cold_bounds,
    };
    let shared = Shared::with_config(log, config);
    let fleet = Fleet::new(&shared, settings.retry_budget, settings.peer_address);
    let (updated, limits) = (
        fleet.clone(),
        Rc::new(Cell::new(server_limits(&Limits::default()))),
    );
    let caller_limits = limits.clone();
    let crash_sharing = share_crashes(
        &shared,
        &directory,
        &follower,
        adapters,
        settings.peer_address,
        log,
    );
    let peer_forwarder = Rc::new(PeerForwarder::new(
        directory.clone(),
        own_entry(&settings),
        shared.answer_memory.clone(),
    ));
    let delegating = peer_forwarder.clone();
    let quotas = Quotas::new(&settings, &fleet, &follower, log);
    let assigned = quotas.clone();
    follower.add_listener(move |directory| {
        updated.update(directory);
        delegating.update(directory);
        assigned.update(directory);
        if let Some(table) = updated.table() {
            limits.set(server_limits(&table.limits));
        }
    });
    Rc::new(Gateway {
        settings: RefCell::new(settings),
        fleet,
        follower,
        directory,
        crash_sharing,
        peer_forwarder,
        quotas,
        limiters: RouteLimiters::default(),
        wire: adapters.wire.clone(),
        recorder,
        shutdown: Cell::new(None),
        answers_due: Event::default(),
        in_flight: Rc::default(),
        detached: Rc::default(),
        caller_limits,
        caller_connections: Rc::default(),
        caller_shutdown: Event::default(),
        log: log.clone(),
    })
}

/// Starts to share the crashes of upstreams with the other gateways.
fn share_crashes(
    shared: &Rc<Shared>,
    directory: &SharedDirectory,
    follower: &Rc<Follower>,
    adapters: &PlatformAdapters,
    me: SocketAddr,
    log: &Logger,
) -> Rc<CrashSharing> {
    let sharing = CrashSharing::new(
        shared.clone(),
        directory.clone(),
        adapters.crashes.clone(),
        adapters.leases.clone(),
        me,
        log,
    );
    let (notified, merged) = (sharing.clone(), sharing.clone());
    *shared.peer_notifier.borrow_mut() = Some(Rc::new(move || notified.notify()));
    follower.add_listener(move |directory| merged.merge_directory(directory));
    follower.set_crash_exchange(sharing.clone());
    compio::runtime::spawn(sharing.clone().run()).detach();
    sharing
}

/// The HTTP library has one timeout for the arrival of a request's headers, which
/// includes the idle time of the connection before the request; hence the
/// larger of both.
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
    compio::runtime::spawn(link_watch::run(gateway.clone())).detach();
}

fn start_server(listener: Listener, router: Router, limits: ServerLimits) {
    let serving = serve(listener, router, limits, Event::default(), Rc::default());
    compio::runtime::spawn(serving).detach();
}
