//! Starts, freezes and kills real processes: daemons, the store, the list of
//! instances and upstreams.

mod plan;
mod process;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use catalog::Declarations;
use serde_json::{Value, json};

pub use plan::{Plan, ServicePlan};
pub use process::{Binaries, Process, terminate};

use crate::client::{Answer, JsonClient};

const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon and its addresses.
pub struct DaemonProcess {
    /// The process.
    pub process: Process,
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators and other daemons.
    pub peers: SocketAddr,
}

/// A process with one or several upstreams.
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// Service, name and address of each upstream.
    pub upstreams: Vec<(String, String, SocketAddr)>,
}

/// All processes of a system on loopback; dropping it kills them.
pub struct Fleet {
    /// The programs.
    pub binaries: Binaries,
    /// Directory of the settings files and logs.
    pub dir: PathBuf,
    /// The store.
    pub store: Process,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// The list of instances.
    pub instance_list: Process,
    /// Address of the list of instances.
    pub instances_address: SocketAddr,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The processes of the upstreams.
    pub upstreams: Vec<UpstreamProcess>,
    /// Declarations with the addresses of the upstreams.
    pub declarations: Declarations,
    plan: Plan,
}

impl Fleet {
    /// Starts all processes of a plan and waits until they listen, without
    /// applying the declarations.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    pub async fn start(binaries: &Binaries, plan: Plan) -> Self {
        let dir = make_dir();
        let store = Process::start(
            &binaries.standins,
            &["store", "--listen", "127.0.0.1:0"],
            &dir,
            "store",
        );
        let instance_list = Process::start(
            &binaries.standins,
            &["instances", "--listen", "127.0.0.1:0"],
            &dir,
            "list",
        );
        let store_address = address_of(&store.wait_for_line("listening").await["listening"]);
        let instances_address =
            address_of(&instance_list.wait_for_line("listening").await["listening"]);
        let upstreams = start_upstreams(binaries, &plan, &dir).await;
        let declarations = plan.declarations(&upstreams);
        let mut fleet = Self {
            binaries: binaries.clone(),
            dir,
            store,
            store_address,
            instance_list,
            instances_address,
            daemons: Vec::new(),
            upstreams,
            declarations,
            plan,
        };
        for number in 0..fleet.plan.daemons {
            let daemon = fleet.start_daemon(number, None).await;
            fleet.daemons.push(daemon);
        }
        fleet.publish_instances().await;
        fleet
    }

    /// Starts the processes, applies the declarations and waits until every
    /// daemon is ready and a search through each daemon covers every shard.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start, the declarations are refused or a
    /// daemon does not become ready.
    pub async fn ready(binaries: &Binaries, plan: Plan) -> Self {
        let fleet = Self::start(binaries, plan).await;
        let reply = fleet.apply(0, &fleet.declarations, "first").await;
        assert_eq!(reply["outcome"], "committed", "{reply}");
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts daemon `number`, at the given addresses if any (for a restart).
    pub async fn start_daemon(
        &self,
        number: usize,
        at: Option<(SocketAddr, SocketAddr)>,
    ) -> DaemonProcess {
        let name = format!("entry-{}", number + 1);
        let domain = self.plan.domains[number % self.plan.domains.len()].clone();
        let (callers, peers) = at.unwrap_or_else(|| (any_port(), any_port()));
        let mut settings = json!({
            "instance": name,
            "domain": domain,
            "callers": callers.to_string(),
            "peers": peers.to_string(),
            "store": self.store_address.to_string(),
            "instances": self.instances_address.to_string(),
        });
        if let (Value::Object(all), Value::Object(extra)) = (&mut settings, &self.plan.settings) {
            all.extend(extra.clone());
        }
        let file = self.dir.join(format!("{name}.yaml"));
        // JSON is YAML.
        std::fs::write(&file, settings.to_string()).expect("settings can be written");
        let path = file.display().to_string();
        let process = Process::start(
            &self.binaries.product,
            &["serve", "--settings", &path],
            &self.dir,
            &name,
        );
        let line = process.wait_for_line("listening").await;
        let callers = address_of(&line["callers"]);
        let peers = address_of(&line["peers"]);
        DaemonProcess {
            process,
            name,
            domain,
            callers,
            peers,
        }
    }

    /// Starts daemon `number` again at its addresses, without its previous state.
    pub async fn restart_daemon(&mut self, number: usize) {
        let old = &self.daemons[number];
        let addresses = Some((old.callers, old.peers));
        self.daemons[number] = self.start_daemon(number, addresses).await;
    }

    /// Replaces the list of instances by the fleet's daemons.
    pub async fn publish_instances(&self) {
        let instances: Vec<Value> = self
            .daemons
            .iter()
            .map(|d| json!({ "id": d.name, "address": d.peers, "domain": d.domain, "state": "live" }))
            .collect();
        let answer = JsonClient::new(self.instances_address)
            .post("/v1/instances", &json!(instances))
            .await;
        answer.expect("the list of instances accepts a new list");
    }

    /// Applies declarations through a daemon, based on the current revision.
    pub async fn apply(
        &self,
        daemon: usize,
        declarations: &Declarations,
        operation: &str,
    ) -> Value {
        let file = self.dir.join(format!("{operation}.yaml"));
        std::fs::write(&file, catalog::render(declarations)).expect("declarations can be written");
        let address = self.daemons[daemon].peers.to_string();
        let path = file.display().to_string();
        let arguments = [
            "apply",
            "--output",
            "json",
            "--daemon",
            &address,
            "--file",
            &path,
            "--operation",
            operation,
        ];
        self.run(&arguments).await
    }

    /// Runs the product's command line and returns its last output line as JSON, or
    /// all its output as a string if that line is not JSON.
    pub async fn run(&self, arguments: &[&str]) -> Value {
        let output = process::output(&self.binaries.product, arguments).await;
        let last = output.lines().last().unwrap_or_default();
        serde_json::from_str(last).unwrap_or(Value::String(output))
    }

    /// Waits until every daemon is ready and has all others as live members, and
    /// a search of each service is complete through each daemon.
    pub async fn wait_until_ready(&self) {
        for daemon in 0..self.daemons.len() {
            let client = JsonClient::new(self.daemons[daemon].callers);
            wait_until("the daemon is ready", START_TIMEOUT, async || {
                client.get("/readyz").await.is_ok_and(|a| a.status == 200)
            })
            .await;
            wait_until(
                "all other daemons are live members",
                START_TIMEOUT,
                async || {
                    let dump = self.dump(daemon).await;
                    let members = dump["members"].as_array().cloned().unwrap_or_default();
                    members.iter().filter(|m| m["state"] == "alive").count() + 1
                        == self.daemons.len()
                },
            )
            .await;
        }
        for service in &self.declarations.services {
            self.wait_until_complete(&service.name).await;
        }
    }

    /// Waits until a search of a service covers every shard through every
    /// daemon.
    pub async fn wait_until_complete(&self, service: &str) {
        for daemon in 0..self.daemons.len() {
            let client = self.client(daemon);
            wait_until("a search is complete", START_TIMEOUT, async || {
                let answer = search(&client, service, &json!("warm-up")).await;
                answer.is_ok_and(|a| a.body["complete"] == true)
            })
            .await;
        }
    }

    /// Returns a client for a daemon's callers address.
    pub fn client(&self, daemon: usize) -> JsonClient {
        JsonClient::new(self.daemons[daemon].callers)
    }

    /// Returns the state dump of a daemon.
    pub async fn dump(&self, daemon: usize) -> Value {
        let address = self.daemons[daemon].peers.to_string();
        let output = process::output(&self.binaries.product, &["dump", "--daemon", &address]).await;
        serde_json::from_str(&output).unwrap_or_default()
    }

    /// Sets the store's faults.
    pub async fn set_store_faults(&self, faults: Value) {
        let answer = JsonClient::new(self.store_address)
            .post("/faults", &faults)
            .await;
        answer.expect("the store accepts the faults");
    }

    /// Returns the store's counts of calls.
    pub async fn store_stats(&self) -> Value {
        JsonClient::new(self.store_address)
            .get("/stats")
            .await
            .expect("the store answers")
            .body
    }

    /// Changes the behaviour of an upstream.
    pub async fn control(&self, upstream: &str, change: Value) {
        let answer = JsonClient::new(self.find_upstream(upstream))
            .post("/control", &change)
            .await;
        assert_eq!(answer.expect("the upstream accepts the change").status, 200);
    }

    /// Returns the recorded executions of an upstream.
    pub async fn executions(&self, upstream: &str) -> Vec<Value> {
        let answer = JsonClient::new(self.find_upstream(upstream))
            .get("/executions")
            .await;
        answer
            .ok()
            .and_then(|a| a.body.as_array().cloned())
            .unwrap_or_default()
    }

    /// Returns the recorded executions of all upstreams that answer.
    pub async fn all_executions(&self) -> Vec<Value> {
        let mut all = Vec::new();
        for (_, name, _) in self.upstreams.iter().flat_map(|p| &p.upstreams) {
            all.extend(self.executions(name).await);
        }
        all
    }

    /// Returns the counts of an upstream.
    pub async fn counts(&self, upstream: &str) -> Value {
        let answer = JsonClient::new(self.find_upstream(upstream))
            .get("/counts")
            .await;
        answer.map(|a| a.body).unwrap_or_default()
    }

    /// Returns the address of an upstream.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream.
    pub fn find_upstream(&self, name: &str) -> SocketAddr {
        let mut all = self.upstreams.iter().flat_map(|p| &p.upstreams);
        all.find(|(_, n, _)| n == name)
            .map(|(_, _, a)| *a)
            .expect("the upstream exists")
    }

    /// Returns the process of an upstream.
    ///
    /// # Panics
    ///
    /// Panics if there is no such upstream.
    pub fn upstream_process(&mut self, name: &str) -> &mut Process {
        let found = self
            .upstreams
            .iter_mut()
            .find(|p| p.upstreams.iter().any(|(_, n, _)| n == name));
        &mut found.expect("the upstream exists").process
    }

    /// Starts the process of an upstream again at the same addresses.
    pub async fn restart_upstream(&mut self, name: &str) {
        let found = self
            .upstreams
            .iter()
            .position(|p| p.upstreams.iter().any(|(_, n, _)| n == name));
        let index = found.expect("the upstream exists");
        let upstreams = self.upstreams[index].upstreams.clone();
        let names: Vec<(String, String)> = upstreams
            .iter()
            .map(|(s, n, _)| (s.clone(), n.clone()))
            .collect();
        let addresses: Vec<SocketAddr> = upstreams.iter().map(|(_, _, a)| *a).collect();
        self.upstreams[index] = start_upstream(
            &self.binaries,
            &self.plan,
            &self.dir,
            &names,
            Some(&addresses),
        )
        .await;
    }
}

/// Sends a search to a daemon.
///
/// # Errors
///
/// Fails if no response arrives.
pub async fn search(
    client: &JsonClient,
    service: &str,
    query: &Value,
) -> transport::Result<Answer> {
    client
        .post(
            &format!("/v1/services/{service}/search"),
            &json!({ "query": query }),
        )
        .await
}

/// Sends a booking to a daemon.
///
/// # Errors
///
/// Fails if no response arrives.
pub async fn book(
    client: &JsonClient,
    service: &str,
    key: &str,
    booking: &Value,
) -> transport::Result<Answer> {
    let path = format!("/v1/services/{service}/book");
    let body = json!({ "booking": booking }).to_string();
    client
        .send("POST", &path, &[("idempotency-key", key)], body.into())
        .await
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold within the time.
pub async fn wait_until(what: &str, timeout: Duration, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !holds().await {
        assert!(
            Instant::now() < end,
            "timed out after {timeout:?} waiting until {what}"
        );
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn start_upstreams(binaries: &Binaries, plan: &Plan, dir: &Path) -> Vec<UpstreamProcess> {
    let all: Vec<(String, String)> = plan.upstream_names();
    let mut processes = Vec::new();
    for chunk in all.chunks(plan.upstreams_per_process) {
        processes.push(start_upstream(binaries, plan, dir, chunk, None).await);
    }
    processes
}

async fn start_upstream(
    binaries: &Binaries,
    plan: &Plan,
    dir: &Path,
    names: &[(String, String)],
    addresses: Option<&[SocketAddr]>,
) -> UpstreamProcess {
    let listed: Vec<Value> = names
        .iter()
        .enumerate()
        .map(|(i, (service, name))| {
            let address =
                addresses.map_or_else(|| "127.0.0.1:0".to_owned(), |list| list[i].to_string());
            json!({ "name": name, "address": address, "behaviour": plan.behaviour(service) })
        })
        .collect();
    let text = json!(listed).to_string();
    let seed = plan.seed.to_string();
    let log = format!("upstream-{}", names[0].1);
    let process = Process::start(
        &binaries.standins,
        &["upstream", "--seed", &seed, "--upstreams", &text],
        dir,
        &log,
    );
    let line = process.wait_for_line("listening").await;
    let bound = line["listening"].as_array().cloned().unwrap_or_default();
    let upstreams = names
        .iter()
        .zip(&bound)
        .map(|((s, n), a)| (s.clone(), n.clone(), address_of(a)));
    UpstreamProcess {
        upstreams: upstreams.collect(),
        process,
    }
}

fn address_of(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|s| s.parse().ok())
        .expect("the process prints its address")
}

/// Returns a loopback address with port 0, for which the kernel picks a free port
/// when it is bound.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn make_dir() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("coltsfootgw-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary directory can be made");
    dir
}

/// Fails any test in which a task of a daemon panicked, whatever the test checks.
impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        for daemon in &self.daemons {
            let log = daemon.process.read_log();
            let panicked = log.lines().find(|l| l.contains("task panicked"));
            assert!(panicked.is_none(), "{}: {panicked:?}", daemon.name);
        }
        if std::env::var_os("COLTSFOOTGW_KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
