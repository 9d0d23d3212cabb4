//! A site on loopback: a store, shards with their upstreams, and the settings
//! of its daemons.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use clock::Millis;
use http::HeaderMap;
use serde_json::{Value, json};
use transport::{Event, Listener, ServerLimits, serve};

use super::endpoints::Endpoints;
use super::store::{self, PlatformStore};
use super::upstream::{self, Mode, PlatformUpstream};

/// Host of all routes.
pub const HOST: &str = "site.example";
/// Prefix of the search over all shards.
pub const SEARCH: &str = "/search/";
/// Prefix of the reads from one shard.
pub const READ: &str = "/read/";
/// Prefix of the writes to one shard, which must not be retried.
pub const WRITE: &str = "/write/";

/// Number of shards of the site that [`start_site`] starts.
pub const SHARDS: usize = 4;

/// Size and speed of a site.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of shards.
    pub shards: usize,
    /// Number of upstreams of each shard.
    pub replicas: usize,
    /// Service time of each request.
    pub service_time: Millis,
}

/// A running site.
pub struct Site {
    /// The store.
    pub store: Rc<PlatformStore>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// The upstreams by shard.
    pub shards: Vec<Vec<Rc<PlatformUpstream>>>,
    addresses: HashMap<String, SocketAddr>,
}

impl Site {
    /// Overwrites the store entry of an upstream, with a new state and sequence
    /// number.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream.
    pub fn report(&self, shard: usize, replica: usize, state: &str, seq: u64) {
        self.report_start(shard, replica, state, seq, None);
    }

    /// Overwrites the store entry of an upstream as [`Site::report`] does, with the
    /// time at which its process started.
    pub fn report_start(
        &self,
        shard: usize,
        replica: usize,
        state: &str,
        seq: u64,
        born: Option<u64>,
    ) {
        let id = &self.shards[shard][replica].id;
        let mut entry = upstream_entry(&shard_name(shard), self.addresses[id], state, seq);
        if let Some(born) = born {
            entry["born"] = json!(born);
        }
        put(&self.store, &format!("servers/{id}"), &entry);
    }

    /// Overwrites the store entry of an upstream that is ready, with a new sequence number
    /// and with other values of some fields.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream or `fields` is no object.
    pub fn report_fields(&self, shard: usize, replica: usize, seq: u64, fields: &Value) {
        let id = &self.shards[shard][replica].id;
        let mut entry = self.entry(shard, replica, seq);
        for (name, value) in fields.as_object().expect("fields are an object") {
            entry[name] = value.clone();
        }
        put(&self.store, &format!("servers/{id}"), &entry);
    }

    /// Returns the store entry of an upstream that is ready.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream.
    pub fn entry(&self, shard: usize, replica: usize, seq: u64) -> Value {
        let id = &self.shards[shard][replica].id;
        upstream_entry(&shard_name(shard), self.addresses[id], "ready", seq)
    }

    /// Returns the addresses of all upstreams.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.values().copied().collect()
    }

    /// Sets how all upstreams of a shard answer.
    pub fn set_mode(&self, shard: usize, mode: &Mode) {
        for upstream in &self.shards[shard] {
            *upstream.mode.borrow_mut() = mode.clone();
        }
    }

    /// Returns how many times a request ran, summed over all upstreams.
    pub fn runs(&self, request_id: &str) -> usize {
        let all = self.shards.iter().flatten();
        let runs = |u: &Rc<PlatformUpstream>| {
            let ran = u.ran.borrow();
            ran.iter().filter(|id| *id == request_id).count()
        };
        all.map(runs).sum()
    }

    /// Returns the headers with which a request reached upstreams, once for each time.
    pub fn received(&self, request_id: &str) -> Vec<HeaderMap> {
        let all = self.shards.iter().flatten();
        let received = |u: &Rc<PlatformUpstream>| {
            let received = u.received.borrow();
            let matching = received
                .iter()
                .filter(|h| h.get("request-id").is_some_and(|id| id == request_id));
            matching.cloned().collect::<Vec<_>>()
        };
        all.flat_map(received).collect()
    }

    /// Starts a site on free ports of loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(size: Size) -> transport::Result<Self> {
        let store = PlatformStore::new();
        let store_address = listen(store::router(&store)).await?;
        let mut shards = Vec::new();
        let mut addresses = HashMap::new();
        for shard in 0..size.shards {
            let mut replicas = Vec::new();
            for replica in 0..size.replicas {
                let id = format!("u-{shard}-{replica}");
                let upstream = PlatformUpstream::new(&id, 2, size.service_time, 25);
                let address = listen(upstream::router(&upstream)).await?;
                let entry = upstream_entry(&shard_name(shard), address, "ready", 1);
                put(&store, &format!("servers/{id}"), &entry);
                addresses.insert(id, address);
                replicas.push(upstream);
            }
            shards.push(replicas);
        }
        put(&store, "op/config", &configuration(size.shards, 1));
        Ok(Self {
            store,
            store_address,
            shards,
            addresses,
        })
    }
}

/// Starts a site with [`SHARDS`] shards of two upstreams each, which take 5 ms for
/// a request.
///
/// # Panics
///
/// Panics if no port can be bound.
pub async fn start_site() -> Site {
    let size = Size {
        shards: SHARDS,
        replicas: 2,
        service_time: Millis(5),
    };
    Site::start(size).await.expect("loopback ports are free")
}

async fn listen(router: axum::Router) -> transport::Result<SocketAddr> {
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.address;
    let limits = ServerLimits::default();
    let serving = serve(listener, router, limits, Event::default(), Rc::default());
    compio::runtime::spawn(serving).detach();
    Ok(address)
}

/// Writes a JSON value to the store, as operators and upstreams do.
pub fn put(store: &PlatformStore, key: &str, value: &Value) {
    store.put(key, &STANDARD.encode(value.to_string()), 0);
}

/// Returns the name of a shard's service.
pub fn shard_name(shard: usize) -> String {
    format!("shard-{shard}")
}

/// Returns the entry that an upstream writes to the store for itself.
pub fn upstream_entry(service: &str, address: SocketAddr, state: &str, seq: u64) -> Value {
    json!({
        "service": service, "address": address, "zone": "a", "version": "v1",
        "capacity-slots": 2, "state": state, "cold-remaining-ms": 0, "seq": seq,
    })
}

/// Returns a configuration with a search over all shards, and reads from and
/// writes to the first shard.
pub fn configuration(shards: usize, version: u64) -> Value {
    let names: Vec<String> = (0..shards).map(shard_name).collect();
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({
            "name": name, "host": HOST, "prefix": prefix, "route-kind": kind,
            "timeout-ms": 1_000, "target-latency-ms": 100, "priority": 1, "max-attempts": 2,
        })
    };
    let mut search = route("search", SEARCH, "safe");
    search["gather"] = json!(names);
    search["top-k"] = json!(20);
    search["min-success-share"] = json!(0.7);
    let mut read = route("read", READ, "safe");
    read["service"] = json!(shard_name(0));
    let mut write = route("write", WRITE, "unsafe");
    write["service"] = json!(shard_name(0));
    let services: Vec<Value> = names
        .iter()
        .map(|n| json!({ "name": n, "max-connections": 26 }))
        .collect();
    json!({
        "version": version, "routes": [search, read, write], "services": services,
        "limits": { "max-header-bytes": 16_384, "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000 },
    })
}

/// Returns the contents of a daemon's settings file.
pub fn settings(
    name: &str,
    endpoints: Endpoints,
    domain: &str,
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> Value {
    json!({
        "node-name": name, "ip-address": endpoints.ip, "zone": domain,
        "listen-addresses": {
            "front": endpoints.callers(), "ready": endpoints.ready(), "control": endpoints.peers() },
        "seed-nodes": seeds,
        "heartbeat-ms": 1_200,
        "bounds": { "grace-s": 6, "retry-budget-ratio": 0.2, "budget-slack": 54 },
        "platform": { "address": store },
    })
}
