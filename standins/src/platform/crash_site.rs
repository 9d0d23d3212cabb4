//! A site whose upstreams end while they run certain requests. An upstream that
//! ended is away for a while and returns as another instance at the same address.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use futures_util::future::{Either, select};
use serde_json::json;
use transport::{Event, Listener, ServerLimits, listen, serve, serve_connection};

use super::full_queue::FullQueue;
use super::site::{configuration, put, shard_name, upstream_entry};
use super::store::{self, PlatformStore};
use super::upstream::{self, CrashLog, Ending, PlatformUpstream};

/// Failure domains of the upstreams, in turn.
pub const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
/// Time for which an ended upstream refuses connections.
pub const DOWNTIME: Millis = Millis(3_000);
/// Service time of requests that end no upstream.
const SERVICE_TIME: Millis = Millis(50);
/// Slots of each upstream.
const SLOTS: usize = 2;
const BIND_RETRY_DELAY: Millis = Millis(50);

/// A running site whose upstreams are crashed by requests with
/// [`CRASHING`](super::upstream::CRASHING) in the path.
pub struct CrashSite {
    /// The store.
    pub store: Rc<PlatformStore>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// What happened to the upstreams.
    pub log: Rc<CrashLog>,
    running: Running,
}

/// The present upstream at each address.
type Running = Rc<RefCell<HashMap<SocketAddr, Rc<PlatformUpstream>>>>;

impl CrashSite {
    /// Starts a site of shards with some upstreams each, on free ports of loopback.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(shards: usize, replicas: usize) -> Self {
        let store = PlatformStore::new();
        let listener = bind_any().await;
        let site = Self {
            store: store.clone(),
            store_address: listener.address,
            log: Rc::default(),
            running: Running::default(),
        };
        let limits = ServerLimits::default();
        let serving = serve(
            listener,
            store::router(&store),
            limits,
            Event::default(),
            Rc::default(),
        );
        compio::runtime::spawn(serving).detach();
        for shard in 0..shards {
            for replica in 0..replicas {
                // Dropping the listener leaves a free port.
                let address = bind_any().await.address;
                let host = Host {
                    shard,
                    replica,
                    address,
                    starts: Cell::new(0),
                    store: store.clone(),
                    log: site.log.clone(),
                    running: site.running.clone(),
                };
                compio::runtime::spawn(host.run()).detach();
            }
        }
        put(&store, "op/config", &configuration(shards, 1));
        site
    }

    /// Returns the upstreams that run now, or will again.
    pub fn upstreams(&self) -> Vec<Rc<PlatformUpstream>> {
        self.running.borrow().values().cloned().collect()
    }
}

async fn bind_any() -> Listener {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    Listener::bind(address)
        .await
        .expect("loopback ports are free")
}

/// The place of one upstream, which starts again after each end.
struct Host {
    shard: usize,
    replica: usize,
    address: SocketAddr,
    starts: Cell<usize>,
    store: Rc<PlatformStore>,
    log: Rc<CrashLog>,
    running: Running,
}

/// The connections of an upstream that it serves.
type Connections = Vec<JoinHandle<()>>;

impl Host {
    async fn run(self) {
        loop {
            let id = format!("u-{}-{}-{}", self.shard, self.replica, self.starts.get());
            self.starts.set(self.starts.get() + 1);
            let upstream = PlatformUpstream::with_crashes(&id, SLOTS, SERVICE_TIME, &self.log);
            let key = format!("servers/{id}");
            let listener = self.listen().await;
            self.register(&key, &upstream);
            let mut connections = Connections::new();
            loop {
                self.serve(&upstream, &listener, &mut connections).await;
                self.log.ends.borrow_mut().push(Millis::now());
                if self.log.ending.get() != Ending::CutOff {
                    break;
                }
                self.be_silent(&upstream, &listener).await;
                upstream.crash.replace(Event::default());
            }
            self.end(&upstream, listener, connections).await;
            self.store.delete(&key);
        }
    }

    async fn listen(&self) -> TcpListener {
        loop {
            match listen(self.address).await {
                Ok(listener) => return listener,
                Err(_) => compio::time::sleep(BIND_RETRY_DELAY.into()).await,
            }
        }
    }

    /// Serves until a request ends the upstream.
    async fn serve(
        &self,
        upstream: &Rc<PlatformUpstream>,
        listener: &TcpListener,
        connections: &mut Connections,
    ) {
        let router = upstream::router(upstream);
        let ended = upstream.crash.borrow().clone();
        loop {
            let accept = std::pin::pin!(listener.accept());
            let crash = std::pin::pin!(ended.wait());
            match select(accept, crash).await {
                Either::Left((Ok((stream, _)), _)) => {
                    let limits = ServerLimits::default();
                    let served = serve_connection(stream, router.clone(), limits, Event::default());
                    connections.push(compio::runtime::spawn(served));
                }
                Either::Left((Err(_), _)) => {}
                Either::Right(_) => return,
            }
        }
    }

    /// Answers nothing and accepts no connection for [`DOWNTIME`].
    async fn be_silent(&self, upstream: &PlatformUpstream, listener: &TcpListener) {
        upstream.is_silent.set(true);
        let full = FullQueue::fill(listener, self.address);
        compio::time::sleep(DOWNTIME.into()).await;
        full.empty(listener);
        upstream.is_silent.set(false);
    }

    /// Stays away for [`DOWNTIME`], unless it is back at once; all connections are closed
    /// then.
    async fn end(
        &self,
        upstream: &PlatformUpstream,
        listener: TcpListener,
        connections: Connections,
    ) {
        match self.log.ending.get() {
            Ending::Closed | Ending::CutOff => drop((listener, connections)),
            Ending::Restarted => return drop((listener, connections)),
            Ending::SilentRefused => {
                upstream.is_silent.set(true);
                drop(listener);
                compio::time::sleep(DOWNTIME.into()).await;
                return drop(connections);
            }
            Ending::Silent => {
                self.be_silent(upstream, &listener).await;
                return drop((listener, connections));
            }
        }
        compio::time::sleep(DOWNTIME.into()).await;
    }

    fn register(&self, key: &str, upstream: &Rc<PlatformUpstream>) {
        let mut running = self.running.borrow_mut();
        running.insert(self.address, upstream.clone());
        let mut entry = upstream_entry(&shard_name(self.shard), self.address, "ready", 1);
        entry["zone"] = json!(DOMAINS[self.replica % DOMAINS.len()]);
        put(&self.store, key, &entry);
    }
}
