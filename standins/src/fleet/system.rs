//! A system of processes: its start, its store and its end.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

use catalog::Declarations;
use serde_json::{Value, json};

use super::daemons::DaemonProcess;
use super::plan::Plan;
use super::process::{Binaries, Process, START_TIMEOUT, address_of};
use super::requests::search;
use super::upstreams::{UpstreamProcess, start_upstreams};
use super::wait::wait_until;
use crate::client::JsonClient;

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
    pub(crate) plan: Plan,
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

    /// Sets the store's faults.
    pub async fn set_store_faults(&self, faults: Value) {
        let answer = JsonClient::new(self.store_address)
            .post("/faults", &faults)
            .await;
        answer.expect("the store accepts the faults");
    }

    /// Backs up the values of the store.
    pub async fn back_up_store(&self) {
        self.control_store("/backup").await;
    }

    /// Restores the backup of the store.
    pub async fn restore_store(&self) {
        self.control_store("/restore").await;
    }

    async fn control_store(&self, path: &str) {
        let answer = JsonClient::new(self.store_address)
            .post(path, &Value::Null)
            .await;
        answer.expect("the store answers");
    }

    /// Returns the store's counts of calls.
    pub async fn store_stats(&self) -> Value {
        JsonClient::new(self.store_address)
            .get("/stats")
            .await
            .expect("the store answers")
            .body
    }
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

fn make_dir() -> PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("coltsfootgw-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary directory can be made");
    dir
}
