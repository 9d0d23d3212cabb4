//! Builds a daemon and runs it until it is told to stop.

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
use transport::{Listener, Local, ServerLimits, Shutdown, serve};
use upstreams::{Pools, Shared};

use crate::callers;
use crate::confirm::ConfirmGate;
use crate::digest::DaemonDigest;
use crate::operator::OperatorService;
use crate::peers::PeerService;
use crate::shutdown;
use crate::state::Daemon;
use crate::sync::Sync;

const HOUSEKEEPING_INTERVAL: Millis = Millis(1_000);
const OUTCOME_LIFE: Millis = Millis(300_000);
const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Result of running a daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a daemon could not run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("{source}"))]
    Bind {
        /// What the listener said.
        source: transport::Error,
    },
}

/// Runs a daemon until SIGTERM, SIGINT or an operator's wish.
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
        Rc::default(),
    );
    let callers = compio::runtime::spawn(callers);
    let peers = compio::runtime::spawn(peers);
    shutdown::wait_for_departure(&daemon).await;
    shutdown::drain(daemon).await;
    drop((callers, peers));
    Ok(())
}

fn peer_routes(daemon: &Rc<Daemon>) -> axum::Router {
    let peer = PeerServer::new(PeerService(Local::new(daemon.clone())))
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
    let operator = OperatorServer::new(OperatorService(Local::new(daemon.clone())))
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
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
    let sync = Sync::new(Repository::new(store.clone()), &members, log);
    let fleet = members.clone();
    let ledger = Ledger::new(store, Box::new(move || fleet.alive().len() + 1), log);
    let outcomes = Rc::new(Outcomes::default());
    let server = Rc::new(Server {
        pools: pools.clone(),
        ledger: ledger.clone(),
        outcomes: outcomes.clone(),
    });
    let gate = Rc::new(ConfirmGate {
        sync: sync.clone(),
        members: members.clone(),
    });
    let is_local = settings.ownership == Ownership::Local;
    let root = Rc::new(Root::new(&members, &server, gate, is_local));
    connect(&members, &shared, &sync, &pools, &root);
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
        departure: Shutdown::default(),
        started: Millis::now(),
        callers_open: Rc::default(),
        callers_shutdown: Shutdown::default(),
        peers_shutdown: Shutdown::default(),
        log: log.clone(),
    })
}

/// Connects the parts that tell each other news.
fn connect(
    members: &Rc<Members>,
    shared: &Rc<Shared>,
    sync: &Rc<Sync>,
    pools: &Rc<Pools>,
    root: &Rc<Root>,
) {
    members.set_digest(Rc::new(DaemonDigest {
        sync: sync.clone(),
        shared: shared.clone(),
    }));
    let sender = members.clone();
    *shared.news.borrow_mut() = Some(Rc::new(move || sender.beat_now()));
    let owner = root.clone();
    *shared.owns.borrow_mut() = Some(Rc::new(move |topology, group| {
        owner.is_owner(topology, group)
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
    compio::runtime::spawn(keep_house(daemon.clone())).detach();
}

async fn keep_house(daemon: Rc<Daemon>) {
    loop {
        compio::time::sleep(HOUSEKEEPING_INTERVAL.into()).await;
        daemon.outcomes.expire(OUTCOME_LIFE, Millis::now());
    }
}
