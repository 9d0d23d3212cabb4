//! Builds a daemon and runs it until a signal or an operator stops it.

use std::cell::Cell;
use std::rc::Rc;

use catalog::Repository;
use clock::Millis;
use ledger::Ledger;
use members::Members;
use query::{Outcomes, Root, Server};
use schema::operator_server::OperatorServer;
use schema::peer_server::PeerServer;
use settings::{Ownership, Settings};
use slog::{Logger, info};
use snafu::{ResultExt, Snafu};
use store::{HttpInstanceList, HttpStore};
use telemetry::Recorder;
use tonic::service::Routes;
use transport::{Event, Listener, Local, ServerLimits, serve};
use upstreams::{Pools, Shared};

use crate::callers;
use crate::confirm::ConfirmGate;
use crate::digest::DaemonDigest;
use crate::operator::OperatorService;
use crate::peers::PeerService;
use crate::shutdown;
use crate::state::Daemon;
use crate::sync::CatalogSync;

const OUTCOME_EXPIRY_INTERVAL: Millis = Millis(1_000);
const OUTCOME_RETENTION: Millis = Millis(300_000);
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Result of running a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a daemon could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// Error from the listener.
        source: transport::Error,
    },
}

/// Runs a daemon until SIGTERM, SIGINT or an operator's request to leave.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn run(settings: Settings, recorder: Recorder, log: Logger) -> Result<()> {
    let callers = Listener::bind(settings.callers).await.context(BindSnafu)?;
    let peers = Listener::bind(settings.peers).await.context(BindSnafu)?;
    let daemon = build(settings, recorder, &log, &peers);
    start_tasks(&daemon);
    info!(log, "listening"; "callers" => %callers.address, "peers" => %peers.address);
    let limits = ServerLimits::default();
    let caller_routes = callers::router(daemon.clone());
    let callers = serve(
        callers,
        caller_routes,
        limits,
        daemon.callers_shutdown.clone(),
        daemon.callers_open.clone(),
    );
    let peers = serve(
        peers,
        peer_routes(&daemon),
        limits,
        daemon.peers_shutdown.clone(),
        daemon.peers_open.clone(),
    );
    let callers = compio::runtime::spawn(callers);
    let peers = compio::runtime::spawn(peers);
    shutdown::run(&daemon).await;
    drop((callers, peers));
    Ok(())
}

fn peer_routes(daemon: &Rc<Daemon>) -> axum::Router {
    let peer = PeerServer::new(PeerService(Local::new(daemon.clone())))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let operator = OperatorServer::new(OperatorService(Local::new(daemon.clone())))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    Routes::new(peer).add_service(operator).into_axum_router()
}

fn build(settings: Settings, recorder: Recorder, log: &Logger, peers: &Listener) -> Rc<Daemon> {
    let store: Rc<HttpStore> = Rc::new(HttpStore::new(settings.store));
    let members = Members::new(
        &settings.instance,
        &settings.domain,
        peers.address,
        settings.heartbeat_ms,
        log,
    );
    let shared = Shared::new(log);
    let pools = Rc::new(Pools::new(shared.clone()));
    let sync = CatalogSync::new(Repository::new(store.clone()), &members, log);
    let cluster = members.clone();
    let ledger = Ledger::new(store, Box::new(move || cluster.alive().len() + 1), log);
    compio::runtime::spawn(ledger.clone().follow_epochs()).detach();
    let outcomes = Rc::new(Outcomes::default());
    let server = Rc::new(Server {
        pools: pools.clone(),
        ledger: ledger.clone(),
        outcomes: outcomes.clone(),
        exit: Rc::default(),
    });
    let gate = Rc::new(ConfirmGate {
        sync: sync.clone(),
        members: members.clone(),
    });
    let is_local = settings.ownership == Ownership::Local;
    let root = Rc::new(Root::new(&members, &server, gate, is_local));
    connect_components(&members, &shared, &sync, &pools, &root);
    Rc::new(Daemon {
        settings,
        members,
        pools,
        ledger,
        outcomes,
        server,
        root,
        sync,
        recorder,
        is_leaving: Cell::new(false),
        leave_signal: Event::default(),
        started: Millis::now(),
        in_flight: Rc::default(),
        callers_open: Rc::default(),
        peers_open: Rc::default(),
        callers_shutdown: Event::default(),
        peers_shutdown: Event::default(),
        log: log.clone(),
    })
}

/// Registers the callbacks through which components notify each other.
fn connect_components(
    members: &Rc<Members>,
    shared: &Rc<Shared>,
    sync: &Rc<CatalogSync>,
    pools: &Rc<Pools>,
    root: &Rc<Root>,
) {
    members.set_digest(Rc::new(DaemonDigest {
        sync: sync.clone(),
        shared: shared.clone(),
    }));
    let notifier = members.clone();
    *shared.peer_notifier.borrow_mut() = Some(Rc::new(move || notifier.send_heartbeats()));
    let owning_root = root.clone();
    *shared.owns_group.borrow_mut() = Some(Rc::new(move |topology, group| {
        owning_root.is_owner(topology, group)
    }));
    let (pools, root) = (pools.clone(), root.clone());
    sync.add_listener(move |catalog| {
        pools.install(catalog);
        root.install(catalog);
    });
}

fn start_tasks(daemon: &Rc<Daemon>) {
    compio::runtime::spawn(daemon.members.clone().run()).detach();
    let list = Rc::new(HttpInstanceList::new(daemon.settings.instances));
    compio::runtime::spawn(daemon.members.clone().follow_list(list)).detach();
    compio::runtime::spawn(daemon.sync.clone().follow_store()).detach();
    compio::runtime::spawn(expire_outcomes(daemon.clone())).detach();
}

async fn expire_outcomes(daemon: Rc<Daemon>) {
    loop {
        compio::time::sleep(OUTCOME_EXPIRY_INTERVAL.into()).await;
        daemon.outcomes.expire(OUTCOME_RETENTION, Millis::now());
    }
}
