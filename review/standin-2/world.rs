//! The site around the daemons: record, backends with their entries in the store,
//! the daemons as processes, and clients.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, exchange, read_request, response};
use crate::store::Store;

pub const HOST: &str = "leno12.example";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// The record of what was sent, answered and run, with the time in seconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            began: Instant::now(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: &str) {
        let text = format!("{:8.3} {line}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}

/// What a backend does with a request that is for it.
pub enum Action {
    /// Works for so many milliseconds and answers with a body.
    Serve(u64, Vec<u8>),
    /// Works for so many milliseconds and answers with a status; with a signature, and
    /// without `Not-Executed`.
    Fail(u64, u16),
    /// Does not run it, and says so.
    Refuse,
    /// Does it all itself; the connection is closed afterwards if `false` is returned.
    Own(Box<dyn FnOnce(&mut TcpStream) -> bool>),
}

type Behaviour = dyn Fn(&Backend, &Request) -> Action + Send + Sync;

/// A backend; clones share it.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    state: Arc<Mutex<String>>,
    seq: Arc<AtomicU64>,
    born: u64,
    is_alive: Arc<AtomicBool>,
    /// Whether it writes its entry.
    is_listed: Arc<AtomicBool>,
    /// Requests that it began to run, in order.
    pub ran: Arc<Mutex<Vec<String>>>,
    /// When it did, in seconds of the record.
    run_times: Arc<Mutex<Vec<f64>>>,
    behaviour: Arc<Behaviour>,
    record: Record,
    store: Store,
}

impl Backend {
    /// Starts a backend on a free port, with its entry in the store.
    pub fn start(
        record: &Record,
        store: &Store,
        id: &str,
        service: &str,
        zone: &str,
        behaviour: impl Fn(&Backend, &Request) -> Action + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots: 2,
            state: Arc::new(Mutex::new("ready".to_owned())),
            seq: Arc::default(),
            born: wall_ms(),
            is_alive: Arc::new(AtomicBool::new(true)),
            is_listed: Arc::new(AtomicBool::new(true)),
            ran: Arc::default(),
            run_times: Arc::default(),
            behaviour: Arc::new(behaviour),
            record: record.clone(),
            store: store.clone(),
        };
        backend.report();
        let beating = backend.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_alive() || !beating.is_listed.load(Ordering::Relaxed) {
                    return;
                }
                beating.report();
            }
        });
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_alive.load(Ordering::Relaxed) {
                    return;
                }
                let backend = accepting.clone();
                thread::spawn(move || drop(backend.serve(stream)));
            }
        });
        backend
    }

    /// Writes its entry; the return is the acknowledgement.
    pub fn report(&self) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"capacity-slots\":{},\"state\":\"{}\",\"cold-remaining-ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.state.lock().unwrap(),
            self.born
        );
        self.store
            .put(&format!("servers/{}", self.id), entry.as_bytes());
    }

    /// Reports that it is draining.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining".to_owned();
        self.report();
        self.record.write(&format!(
            "store has acknowledged that {} is draining",
            self.id
        ));
    }

    /// Removes its entry without having reported that it is draining; it goes on serving.
    pub fn leave(&self) {
        self.is_listed.store(false, Ordering::Relaxed);
        self.store.remove(&format!("servers/{}", self.id));
        self.record
            .write(&format!("store has acknowledged that {} is gone", self.id));
    }

    /// Stops its reports; another writer overwrites its entry, with another state. It goes on
    /// serving.
    pub fn overwrite(&self, state: &str) {
        self.is_listed.store(false, Ordering::Relaxed);
        *self.state.lock().unwrap() = state.to_owned();
        self.report();
        self.record.write(&format!(
            "store has acknowledged an entry of another writer for {}, with state `{state}`",
            self.id
        ));
    }

    /// Ends its process; its entry stays as it is.
    pub fn end_process(&self) {
        self.is_listed.store(false, Ordering::Relaxed);
        self.is_alive.store(false, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.record.write(&format!("{} has ended", self.id));
    }

    /// Ends it: it takes no connections and answers nothing any more, and its entry is
    /// removed.
    pub fn end(&self) {
        self.is_listed.store(false, Ordering::Relaxed);
        self.is_alive.store(false, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        self.store.remove(&format!("servers/{}", self.id));
        self.record.write(&format!("{} has ended", self.id));
    }

    pub fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::Relaxed)
    }

    /// Returns how often it began to run a request.
    pub fn runs(&self, id: &str) -> usize {
        self.ran.lock().unwrap().iter().filter(|r| *r == id).count()
    }

    /// Returns when it began to run requests, in seconds of the record.
    pub fn run_times(&self) -> Vec<f64> {
        self.run_times.lock().unwrap().clone()
    }

    pub fn note_run(&self, id: &str) {
        self.ran.lock().unwrap().push(id.to_owned());
        self.run_times.lock().unwrap().push(self.record.seconds());
        self.record
            .write(&format!("{} begins to run {id}", self.id));
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            if !self.is_alive() {
                return Ok(());
            }
            let id = request.header("request-id").to_owned();
            if request.header("expect-instance") != self.id {
                self.record
                    .write(&format!("{} answers {id} with 421", self.id));
                let not_run = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                writer.write_all(&response(421, &not_run, b""))?;
                continue;
            }
            let stamp = format!("{}.{id}", self.id);
            let stamped = [
                ("Request-Id", id.as_str()),
                ("Server-Stamp", stamp.as_str()),
            ];
            match (self.behaviour)(self, &request) {
                Action::Serve(ms, body) => {
                    self.note_run(&id);
                    sleep_ms(ms);
                    if !self.is_alive() {
                        return Ok(());
                    }
                    writer.write_all(&response(200, &stamped, &body))?;
                }
                Action::Fail(ms, status) => {
                    self.note_run(&id);
                    sleep_ms(ms);
                    self.record
                        .write(&format!("{} answers {id} with {status}", self.id));
                    writer.write_all(&response(status, &stamped, b"failed"))?;
                }
                Action::Refuse => {
                    self.record
                        .write(&format!("{} refuses {id}, Not-Executed", self.id));
                    let not_run = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                    writer.write_all(&response(503, &not_run, b""))?;
                }
                Action::Own(answer) => {
                    if !answer(&mut writer) {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }
}

/// A folder for settings and logs that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("coltsfootgw-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

const FRONT: u16 = 8226;
const READY: u16 = 8227;
const CONTROL: u16 = 8224;
const METRICS: u16 = 9464;

/// A daemon, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
    record: Record,
}

impl Gateway {
    /// Starts `count` daemons, each with a loopback address of its own, and with an address
    /// of the store of its own.
    pub fn start_all(record: &Record, folder: &Folder, store: &Store, count: usize) -> Vec<Self> {
        let ips: Vec<Ipv4Addr> = unused_ips(count);
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL}\""))
            .collect();
        let zones = ["bne", "tsv", "cns", "rok"];
        let start = |(n, ip): (usize, &Ipv4Addr)| {
            let name = format!("front-{}-{}", zones[n % 4], n / 4 + 1);
            let settings = settings(&name, *ip, zones[n % 4], store.listen(), &seeds.join(","));
            let path = folder.0.join(format!("{name}.yaml"));
            fs::write(&path, settings).expect("settings can be written");
            let log = folder.0.join(format!("{name}.log"));
            let process = spawn(&path, &log);
            record.write(&format!("{name} started"));
            Self {
                name,
                ip: *ip,
                settings: path,
                log,
                process,
                record: record.clone(),
            }
        };
        ips.iter().enumerate().map(start).collect()
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::from((self.ip, READY));
        let request = b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        exchange(ready, request, Duration::from_secs(1)).is_ok_and(|r| r.status == 200)
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.record.write(&format!("{} killed", self.name));
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) {
        self.process = spawn(&self.settings, &self.log);
        self.record.write(&format!("{} started again", self.name));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        self.record.write(&format!("{} gets SIG{name}", self.name));
    }

    pub fn has_exited(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Returns the last lines of its log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines()
            .filter(|l| l.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    let errors = log.try_clone().expect("a log file");
    let mut command = Command::new("target/release/coltsfootgw");
    command
        .arg("gateway")
        .env("COLTSFOOTGW_NODE_FILE", settings);
    command.stdin(Stdio::null()).stdout(log).stderr(errors);
    command.spawn().expect("the program of the deploy file")
}

/// Returns loopback addresses on which the ports of a daemon are free.
fn unused_ips(count: usize) -> Vec<Ipv4Addr> {
    let pid = std::process::id();
    let (second, third) = ((pid / 250 % 200 + 20) as u8, (pid % 250) as u8);
    let candidates = (1..=250).map(|last| Ipv4Addr::new(127, second, third, last));
    let is_free = |ip: &Ipv4Addr| {
        let ports = [FRONT, READY, CONTROL, METRICS];
        ports
            .iter()
            .all(|port| TcpListener::bind((*ip, *port)).is_ok())
    };
    candidates.filter(is_free).take(count).collect()
}

fn settings(name: &str, ip: Ipv4Addr, zone: &str, store: SocketAddr, seeds: &str) -> String {
    format!(
        r#"node-name: "{name}"
role: "gateway"
machine-class: "front"
serves: ["front", "control"]
ip-address: "{ip}"
zone: "{zone}"
region: "qld"
zones: {{ bne: "qld", tsv: "qld", cns: "qld", rok: "qld" }}
listen-addresses:
  front: "{ip}:{FRONT}"
  ready: "{ip}:{READY}"
  control: "{ip}:{CONTROL}"
internal-port-range: [7740, 7755]
seed-nodes: [{seeds}]
bootstrap: true
tolerance-counted: false
limits:
  cpu-share: 0.25
  cpu-cores: 1
  memory-mb: 260
  file-descriptors: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-directory: null
discovery: "platform"
entry-point: "virtual_ip"
heartbeat-ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
fault-tolerance: {{ machines: 2, zones: 0, regions: 0 }}
bounds:
  seed-lag-s: 3
  reuse-after-s: 2
  stable-window-ms: 4000
  acknowledge-ms: 5000
  catch-up-s: 4
  drain-ms: 3000
  grace-s: 6
  loss-slack-ms: 200
  config-propagation-ms: 3000
  rollback-slack-ms: 250
  max-stretch-ms: 12000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  budget-slack: 54
  recovery-s: 12
platform:
  address: "{store}"
  form: "kv"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  min-ttl-ms: 1000
"#
    )
}

/// A route of the configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
    pub objective_ms: u64,
    pub attempts: usize,
    pub service: &'a str,
}

/// Writes a configuration with routes to single services; the return is the
/// acknowledgement.
pub fn put_config(store: &Store, record: &Record, version: u64, routes: &[Route<'_>]) {
    let route = |r: &Route<'_>| {
        format!(
            "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"route-kind\":\"{}\",\
             \"timeout-ms\":{},\"target-latency-ms\":{},\"priority\":1,\"service\":\"{}\",\
             \"max-attempts\":{}}}",
            r.name, r.prefix, r.kind, r.timeout_ms, r.objective_ms, r.service, r.attempts
        )
    };
    let service = |r: &Route<'_>| {
        format!(
            "{{\"name\":\"{}\",\"health-check-path\":\"/health\",\"max-connections\":100,\
             \"protocol\":\"h1\",\"transport-security\":false}}",
            r.service
        )
    };
    let mut services: Vec<String> = routes.iter().map(service).collect();
    services.sort();
    services.dedup();
    let routes: Vec<String> = routes.iter().map(route).collect();
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    store.put("op/config", text.as_bytes());
    record.write(&format!("store has acknowledged configuration {version}"));
}

/// A client's request.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Call<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut bytes = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Milliseconds: {}\r\n\
             Content-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.body.len()
        )
        .into_bytes();
        bytes.extend(self.body);
        bytes
    }

    /// Sends it on a new connection and records both; `None` if there is no answer.
    pub fn send(&self, record: &Record, to: &Gateway) -> Option<Response> {
        let began = Instant::now();
        record.write(&format!(
            "client sends {} {} to {}",
            self.method, self.id, to.name
        ));
        let timeout = Duration::from_millis(self.deadline_ms);
        let answer = exchange(to.front(), &self.bytes(), timeout);
        let ms = began.elapsed().as_millis();
        match answer {
            Ok(answer) => {
                let stamp = answer.header("server-stamp").to_owned();
                let again = answer.header("retry-after").to_owned();
                record.write(&format!(
                    "client gets {} for {} after {ms} ms, Server-Stamp `{stamp}`, Retry-After `{again}`",
                    answer.status, self.id
                ));
                Some(answer)
            }
            Err(e) => {
                record.write(&format!(
                    "client gets no answer for {} after {ms} ms: {e}",
                    self.id
                ));
                None
            }
        }
    }
}

/// Counts by name, for the last lines of a record.
#[derive(Default)]
pub struct Counts(pub HashMap<String, usize>);

impl Counts {
    pub fn add(&mut self, name: &str) {
        *self.0.entry(name.to_owned()).or_default() += 1;
    }

    pub fn get(&self, name: &str) -> usize {
        self.0.get(name).copied().unwrap_or(0)
    }
}
