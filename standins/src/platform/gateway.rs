//! Gateways of a site: real processes, each with its own settings file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use http::{Method, Request, Response, StatusCode};
use serde_json::Value;
use transport::Payload;
use uuid::Uuid;

use crate::fleet::{Binaries, Process, wait_until};
use crate::platform::endpoints::{Endpoints, unused_endpoints};
use crate::platform::site::{self, HOST, Site};

/// Longest answer that a client of a gateway reads.
pub const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// Time that a client of a gateway waits for an answer.
pub const TIMEOUT: Millis = Millis(5_000);
/// Time within which a gateway applies a change in the store.
pub const PROPAGATION: Duration = Duration::from_millis(2_500);

/// A running gateway; dropping it ends the process.
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// Addresses at which it listens.
    pub endpoints: Endpoints,
    /// Directory of its settings file and of the log of each of its processes.
    pub dir: PathBuf,
    /// Number of processes started so far.
    starts: usize,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Starts a gateway of a site with the given seed nodes.
pub async fn start_gateway(site: &Site, seeds: &[Endpoints]) -> Gateway {
    start_gateway_at(site.store_address, seeds).await
}

/// Starts several gateways of a site, and waits until they are ready and know each other.
pub async fn start_gateways(site: &Site, count: usize) -> Vec<Gateway> {
    let mut all: Vec<Gateway> = Vec::new();
    for _ in 0..count {
        let seeds: Vec<_> = all.iter().take(3).map(|g| g.endpoints).collect();
        all.push(start_gateway(site, &seeds).await);
    }
    for gateway in &all {
        wait_until("the gateway is ready", PROPAGATION, async || {
            gateway.is_ready().await
        })
        .await;
    }
    compio::time::sleep(PROPAGATION).await;
    all
}

/// Starts a gateway that uses the store at an address.
pub async fn start_gateway_at(store: SocketAddr, seeds: &[Endpoints]) -> Gateway {
    start_gateway_in("a", store, seeds).await
}

/// Starts a gateway in a failure domain.
pub async fn start_gateway_in(domain: &str, store: SocketAddr, seeds: &[Endpoints]) -> Gateway {
    start_gateway_with(domain, store, seeds, Value::Null).await
}

/// Starts a gateway in a failure domain with the limits of its process, as in the settings
/// file.
pub async fn start_gateway_with(
    domain: &str,
    store: SocketAddr,
    seeds: &[Endpoints],
    limits: Value,
) -> Gateway {
    let endpoints = unused_endpoints();
    let dir = std::env::temp_dir().join(format!("coltsfootgw-{}", Uuid::new_v4()));
    std::fs::create_dir_all(&dir).unwrap();
    let seeds: Vec<_> = seeds.iter().map(|s| s.peers()).collect();
    let name = format!("gateway-{}", endpoints.ip);
    let mut settings = site::settings(&name, endpoints, domain, store, &seeds);
    if !limits.is_null() {
        settings["limits"] = limits;
    }
    let path = dir.join("settings.yaml");
    std::fs::write(&path, settings.to_string()).unwrap();
    let process = start_process(&dir, 0).await;
    Gateway {
        process,
        endpoints,
        dir,
        starts: 1,
    }
}

async fn start_process(dir: &Path, starts: usize) -> Process {
    let path = dir.join("settings.yaml");
    let arguments = ["gateway", "--settings", path.to_str().unwrap()];
    let name = format!("gateway-{starts}");
    let process = Process::start(&Binaries::find().product, &arguments, dir, &name);
    process.wait_for_line("\"started\"").await;
    process
}

/// Starts a gateway and waits until it is ready.
pub async fn ready(site: &Site) -> Gateway {
    let gateway = start_gateway(site, &[]).await;
    wait_until("the gateway is ready", PROPAGATION, async || {
        gateway.is_ready().await
    })
    .await;
    gateway
}

impl Gateway {
    /// Kills the process and starts another one with the same settings.
    pub async fn restart(&mut self) {
        self.process.kill();
        self.process = start_process(&self.dir, self.starts).await;
        self.starts += 1;
    }

    /// Returns whether the readiness endpoint answers 200, as a load balancer
    /// checks it.
    pub async fn is_ready(&self) -> bool {
        let request = Request::get("/api/readiness")
            .body(Payload::default())
            .unwrap();
        let answer = transport::request(self.endpoints.ready(), request, 1_024, TIMEOUT).await;
        answer.is_ok_and(|a| a.status() == StatusCode::OK)
    }

    /// Returns a page of the metrics endpoint.
    pub async fn metrics(&self, path: &str) -> String {
        let request = Request::get(path).body(Payload::default()).unwrap();
        let address = self.endpoints.metrics();
        let answer = transport::request(address, request, ANSWER_LIMIT_BYTES, TIMEOUT).await;
        String::from_utf8(answer.expect("metrics are served").into_body().into()).unwrap()
    }

    /// Sends a request without a body.
    pub async fn get(&self, path: &str, id: &str) -> Response<Bytes> {
        self.send(Method::GET, path, id, Bytes::new()).await
    }

    /// Sends a request with the usual headers.
    pub async fn send(&self, method: Method, path: &str, id: &str, body: Bytes) -> Response<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", HOST)
            .header("request-id", id)
            .header("deadline-milliseconds", "1000")
            .body(Payload::new(body))
            .unwrap();
        self.exchange(request).await
    }

    /// Sends a request unchanged.
    pub async fn exchange(&self, request: Request<Payload>) -> Response<Bytes> {
        let sent = transport::request(
            self.endpoints.callers(),
            request,
            ANSWER_LIMIT_BYTES,
            TIMEOUT,
        );
        sent.await.expect("the gateway answers")
    }
}

/// Returns the time in seconds after which a refused caller may retry; `None` if the
/// answer does not say.
pub fn retry_after_s(answer: &Response<Bytes>) -> Option<f64> {
    let value = answer.headers().get("retry-after")?;
    value.to_str().ok()?.parse().ok()
}
