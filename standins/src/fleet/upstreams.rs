//! The upstreams of a system: starts, restarts, behaviour and records.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::{Value, json};

use super::plan::Plan;
use super::process::{Binaries, Process, address_of};
use super::system::Fleet;
use crate::client::JsonClient;

/// A process with one or several upstreams.
pub struct UpstreamProcess {
    /// The process.
    pub process: Process,
    /// Service, name and address of each upstream.
    pub upstreams: Vec<(String, String, SocketAddr)>,
}

impl Fleet {
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

pub(crate) async fn start_upstreams(
    binaries: &Binaries,
    plan: &Plan,
    dir: &Path,
) -> Vec<UpstreamProcess> {
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
