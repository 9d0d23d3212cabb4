//! The daemons of a system: starts, restarts, and calls to them.

use std::net::SocketAddr;

use catalog::Declarations;
use serde_json::{Value, json};

use super::process::{self, Process, address_of};
use super::system::Fleet;
use crate::client::JsonClient;

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

impl Fleet {
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
        self.publish_instances_with(&[]).await;
    }

    /// Replaces the list of instances by the fleet's daemons and other entries.
    pub async fn publish_instances_with(&self, others: &[Value]) {
        let mut instances: Vec<Value> = self
            .daemons
            .iter()
            .map(|d| json!({ "id": d.name, "address": d.peers, "domain": d.domain, "state": "live" }))
            .collect();
        instances.extend_from_slice(others);
        let answer = JsonClient::new(self.instances_address)
            .post("/v1/instances", &json!(instances))
            .await;
        answer.expect("the list of instances accepts a new list");
    }

    /// Returns a client for a daemon's callers address.
    pub fn client(&self, daemon: usize) -> JsonClient {
        JsonClient::new(self.daemons[daemon].callers)
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

    /// Returns the state dump of a daemon.
    pub async fn dump(&self, daemon: usize) -> Value {
        let address = self.daemons[daemon].peers.to_string();
        let output = process::output(&self.binaries.product, &["dump", "--daemon", &address]).await;
        serde_json::from_str(&output).unwrap_or_default()
    }
}

/// Returns a loopback address with port 0, for which the kernel picks a free port
/// when it is bound.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
