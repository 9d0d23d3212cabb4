//! A site whose upstreams end while they run certain requests. An upstream that
//! ended closes its connections, refuses new ones for a while and returns as
//! another instance at the same address.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use futures_util::future::{Either, select};
use serde_json::json;
use transport::{Event, Listener, ServerLimits, listen, serve, serve_connection};

use super::site::{configuration, put, shard_name, upstream_entry};
use super::store::{self, PlatformStore};
use super::upstream::{self, CrashLog, PlatformUpstream};

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
}

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
                };
                compio::runtime::spawn(host.run()).detach();
            }
        }
        put(&store, "op/config", &configuration(shards, 1));
        site
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
}

impl Host {
    async fn run(self) {
        loop {
            let id = format!("u-{}-{}-{}", self.shard, self.replica, self.starts.get());
            self.starts.set(self.starts.get() + 1);
            let upstream = PlatformUpstream::with_crashes(&id, SLOTS, SERVICE_TIME, &self.log);
            let key = format!("servers/{id}");
            self.serve(&upstream, &key).await;
            self.log.ends.borrow_mut().push(Millis::now());
            compio::time::sleep(DOWNTIME.into()).await;
            self.store.delete(&key);
        }
    }

    /// Serves until a request ends the upstream; then all connections are closed.
    async fn serve(&self, upstream: &Rc<PlatformUpstream>, key: &str) {
        let listener = loop {
            match listen(self.address).await {
                Ok(listener) => break listener,
                Err(_) => compio::time::sleep(BIND_RETRY_DELAY.into()).await,
            }
        };
        self.register(key);
        let router = upstream::router(upstream);
        let mut connections = Vec::new();
        loop {
            let accept = std::pin::pin!(listener.accept());
            let crash = std::pin::pin!(upstream.crash.wait());
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

    fn register(&self, key: &str) {
        let mut entry = upstream_entry(&shard_name(self.shard), self.address, "ready", 1);
        entry["zone"] = json!(DOMAINS[self.replica % DOMAINS.len()]);
        put(&self.store, key, &entry);
    }
}
