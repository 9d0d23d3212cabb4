//! Stand-ins shared by the scripts of this review: the platform's store, raw HTTP/1.1
//! servers and clients, and the start of gateways as processes. Standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- record

/// The record of a run: what was sent, answered and run, with milliseconds since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Identifiers of the processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that are left.
pub fn end_processes() {
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// The case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    end_processes();
    std::process::exit(2);
}

/// Whether the disruption is on.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0_u8; 65_536];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads one message with its body.
    pub fn read(&mut self) -> io::Result<Message> {
        let first = self.line()?;
        let mut message = Message { first, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).unwrap_or(0);
                let part = self.take(size)?;
                message.body.extend_from_slice(&part);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Bytes of a response.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub struct Ask<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Ask<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Milliseconds: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        if self.method != "GET" {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// Sends a request on a kept connection, or on a new one if there is none; the connection is
/// kept if its answer allows it.
pub fn ask(to: SocketAddr, kept: &mut Option<Conn>, ask: &Ask<'_>) -> io::Result<Message> {
    let mut conn = match kept.take() {
        Some(conn) => conn,
        None => Conn::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?),
    };
    let limit = Duration::from_millis(ask.deadline_ms + 500);
    conn.stream.set_read_timeout(Some(limit))?;
    conn.write(&ask.bytes())?;
    let answer = conn.read()?;
    let closes = answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    if !closes {
        *kept = Some(conn);
    }
    Ok(answer)
}

/// Serves connections of a listener, each in a thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0");
    let listener = listener.unwrap_or_else(|e| cannot_run(&format!("no port: {e}")));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_value(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(c: &[char], at: &mut usize) {
    while *at < c.len() && c[*at].is_whitespace() {
        *at += 1;
    }
}

fn parse_value(c: &[char], at: &mut usize) -> Json {
    skip_space(c, at);
    match c.get(*at) {
        Some('{') => {
            let mut table = BTreeMap::new();
            *at += 1;
            loop {
                skip_space(c, at);
                match c.get(*at) {
                    Some('"') => {
                        let key = parse_text(c, at);
                        skip_space(c, at);
                        *at += 1;
                        table.insert(key, parse_value(c, at));
                    }
                    Some(',') => *at += 1,
                    _ => {
                        *at += 1;
                        return Json::Table(table);
                    }
                }
            }
        }
        Some('[') => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip_space(c, at);
                match c.get(*at) {
                    Some(']') | None => {
                        *at += 1;
                        return Json::List(list);
                    }
                    Some(',') => *at += 1,
                    _ => list.push(parse_value(c, at)),
                }
            }
        }
        Some('"') => Json::Text(parse_text(c, at)),
        Some('t') => {
            *at += 4;
            Json::Bool(true)
        }
        Some('f') => {
            *at += 5;
            Json::Bool(false)
        }
        Some('n') => {
            *at += 4;
            Json::Null
        }
        _ => {
            let from = *at;
            while *at < c.len() && matches!(c[*at], '-' | '+' | '.' | 'e' | 'E' | '0'..='9') {
                *at += 1;
            }
            if *at == from {
                *at += 1;
            }
            let text: String = c[from..*at.min(&mut c.len())].iter().collect();
            Json::Number(text.parse().unwrap_or(0.0))
        }
    }
}

fn parse_text(c: &[char], at: &mut usize) -> String {
    let mut text = String::new();
    *at += 1;
    while *at < c.len() {
        match c[*at] {
            '"' => {
                *at += 1;
                return text;
            }
            '\\' => {
                *at += 1;
                match c.get(*at) {
                    Some('n') => text.push('\n'),
                    Some('t') => text.push('\t'),
                    Some('u') => {
                        let code: String = c[*at + 1..*at + 5].iter().collect();
                        let code = u32::from_str_radix(&code, 16).unwrap_or(0);
                        text.push(char::from_u32(code).unwrap_or('?'));
                        *at += 4;
                    }
                    Some(other) => text.push(*other),
                    None => {}
                }
                *at += 1;
            }
            other => {
                text.push(other);
                *at += 1;
            }
        }
    }
    text
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            match i <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let digit = DIGITS.iter().position(|d| *d == c).unwrap_or(0) as u32;
        bits = bits << 6 | digit;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (u64, Instant)>,
    revision: u64,
}

/// The platform's store: items, leases, watches.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

/// What one machine sees of the store: the addresses that its links to the servers have, and
/// whether it reaches the store.
#[derive(Default)]
pub struct View {
    pub addresses: HashMap<String, String>,
    pub is_cut: AtomicBool,
    /// Number of times that all open connections to the store went silent: nothing passes on
    /// them any more, in either direction, and they are not closed.
    pub silences: AtomicU64,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = store.clone();
        thread::spawn(move || loop {
            sleep_ms(50);
            expiring.expire();
        });
        store
    }

    pub fn put(&self, key: &str, value: &[u8], lease: u64) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = put(&mut state, key, value, lease);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        remove(&mut state, key);
        self.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state.leases.iter().filter(|(_, l)| l.1 <= now).map(|(k, _)| *k).collect();
        for lease in ended {
            end_lease(&mut state, lease);
            self.changed.notify_all();
        }
    }

    /// Serves the store to one machine, or to all, at an address of its own.
    pub fn serve(self: &Arc<Self>, view: Arc<View>) -> SocketAddr {
        let (listener, address) = listen();
        let store = self.clone();
        serve(listener, move |stream| {
            if view.is_cut.load(Ordering::Relaxed) {
                return;
            }
            let mut conn = Conn::new(stream);
            let opened = view.silences.load(Ordering::SeqCst);
            let is_silent = || view.silences.load(Ordering::SeqCst) > opened;
            while let Ok(request) = conn.read() {
                if view.is_cut.load(Ordering::Relaxed) {
                    return;
                }
                if is_silent() {
                    continue;
                }
                let (status, body) = store.answer(&request, &view);
                if view.is_cut.load(Ordering::Relaxed) {
                    return;
                }
                if is_silent() {
                    continue;
                }
                let headers = [("Content-Type", "application/json")];
                if conn.write(&response(status, &headers, body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        address
    }

    fn answer(&self, request: &Message, view: &View) -> (&'static str, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let last = path.rsplit('/').next().and_then(|l| l.parse::<u64>().ok()).unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        match path {
            "/api/kv-range" => {
                let (prefix, after) = (text("prefix"), text("after"));
                let matching = state.items.iter();
                let matching = matching.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
                let page: Vec<String> = matching.clone().take(500).map(|(k, i)| item(k, i, view)).collect();
                let is_truncated = matching.count() > 500;
                let text = format!(
                    "{{\"items\":[{}],\"truncated\":{is_truncated},\"at\":{}}}",
                    page.join(","),
                    state.revision
                );
                ("200 OK", text)
            }
            "/api/kv-key" => match state.items.get(text("key")) {
                Some(found) => ("200 OK", item(text("key"), found, view)),
                None => ("404 Not Found", "{}".to_owned()),
            },
            "/api/kv-watch" => {
                let (prefix, after) = (text("prefix").to_owned(), number("after"));
                let until = Instant::now() + Duration::from_millis(number("wait-ms"));
                loop {
                    let events = state.events.iter();
                    let events = events.filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let list: Vec<String> = events
                        .map(|(revision, key, found)| match found {
                            Some(found) => item(key, found, view),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !list.is_empty() || left.is_zero() {
                        let text = format!("{{\"events\":[{}],\"at\":{}}}", list.join(","), state.revision);
                        return ("200 OK", text);
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                for row in body.get("expected-revision").list() {
                    let key = row.get("key").text();
                    let revision = state.items.get(key).map_or(0, |i| i.revision);
                    if revision != row.get("revision").number() {
                        return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
                    }
                }
                let writes = body.get("writes").list();
                let is_known = |w: &Json| {
                    let lease = w.get("lease").number();
                    lease == 0 || state.leases.contains_key(&lease)
                };
                if !writes.iter().all(is_known) {
                    return ("404 Not Found", "{}".to_owned());
                }
                for write in writes {
                    let value = from_base64(write.get("value").text());
                    put(&mut state, write.get("key").text(), &value, write.get("lease").number());
                }
                for key in body.get("remove").list() {
                    remove(&mut state, key.text());
                }
                self.changed.notify_all();
                ("200 OK", format!("{{\"revision\":{}}}", state.revision))
            }
            "/api/kv-lease" => {
                let ttl = body.get("ttl-ms").number().clamp(1_000, 600_000);
                state.revision += 1;
                let lease = 70_000 + state.revision;
                state.leases.insert(lease, (ttl, Instant::now() + Duration::from_millis(ttl)));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
            }
            _ if path.starts_with("/api/kv-keep/") => match state.leases.get_mut(&last) {
                Some((ttl, until)) => {
                    *until = Instant::now() + Duration::from_millis(*ttl);
                    ("200 OK", format!("{{\"ttl-ms\":{ttl}}}"))
                }
                None => ("404 Not Found", "{}".to_owned()),
            },
            _ if path.starts_with("/api/kv-lease-end/") => {
                let is_known = state.leases.contains_key(&last);
                end_lease(&mut state, last);
                self.changed.notify_all();
                match is_known {
                    true => ("200 OK", "{}".to_owned()),
                    false => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn put(state: &mut StoreState, key: &str, value: &[u8], lease: u64) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |i| i.created);
    let item = Item { value: value.to_vec(), revision, created, lease };
    state.items.insert(key.to_owned(), item.clone());
    state.events.push((revision, key.to_owned(), Some(item)));
    revision
}

fn remove(state: &mut StoreState, key: &str) {
    if state.items.remove(key).is_some() {
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, key.to_owned(), None));
    }
}

fn end_lease(state: &mut StoreState, lease: u64) {
    state.leases.remove(&lease);
    let held = state.items.iter().filter(|(_, i)| i.lease == lease);
    let held: Vec<String> = held.map(|(k, _)| k.clone()).collect();
    held.iter().for_each(|key| remove(state, key));
}

fn item(key: &str, item: &Item, view: &View) -> String {
    let mut value = item.value.clone();
    if key.starts_with("servers/") && !view.addresses.is_empty() {
        let mut text = String::from_utf8_lossy(&value).into_owned();
        for (from, to) in &view.addresses {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        value = text.into_bytes();
    }
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        base64(&value),
        item.revision,
        item.created,
        item.lease
    )
}

// ---------------------------------------------------------------- gateways

/// A gateway: the program of the deploy file, with a settings file of its own.
pub struct Gateway {
    pub name: String,
    pub ip: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub dir: PathBuf,
    pub process: Mutex<Option<Child>>,
}

static NEXT_IP: AtomicU64 = AtomicU64::new(0);

/// Returns a loopback address on which the ports of a gateway are free.
fn free_ip() -> String {
    for _ in 0..200 {
        let n = NEXT_IP.fetch_add(1, Ordering::Relaxed);
        let seed = (std::process::id() as u64 * 40 + n) % 60_000;
        let ip = format!("127.{}.{}.{}", 90 + seed / 50_000, seed / 200 % 250, 2 + seed % 200);
        let ports = [8224, 8226, 8227, 9464];
        if ports.iter().all(|p| TcpListener::bind(format!("{ip}:{p}")).is_ok()) {
            return ip;
        }
    }
    cannot_run("no free loopback address")
}

pub struct Plan {
    pub name: &'static str,
    pub zone: &'static str,
    pub store: SocketAddr,
}

/// Prepares gateways with settings like those of the deploy page; they start with
/// [`Gateway::start`].
pub fn plan_gateways(dir: &str, plans: &[Plan]) -> Vec<Arc<Gateway>> {
    let ips: Vec<String> = plans.iter().map(|_| free_ip()).collect();
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("  - \"{ip}:8224\"\n")).collect();
    let seeds = seeds.concat();
    let mut all = Vec::new();
    for (plan, ip) in plans.iter().zip(&ips) {
        let dir = PathBuf::from(dir).join(plan.name);
        std::fs::create_dir_all(&dir).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let (name, zone, store) = (plan.name, plan.zone, plan.store);
        let settings = format!(
            "node-name: \"{name}\"\nrole: \"gateway\"\nmachine-class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
             ip-address: \"{ip}\"\nzone: \"{zone}\"\nregion: \"r\"\nzones:\n  z1: \"r\"\n  z2: \"r\"\n  z3: \"r\"\n\
             listen-addresses:\n  front: \"{ip}:8226\"\n  ready: \"{ip}:8227\"\n  control: \"{ip}:8224\"\n\
             internal-port-range:\n  - 7740\n  - 7755\nseed-nodes:\n{seeds}bootstrap: true\ntolerance-counted: false\n\
             limits:\n  cpu-share: 0.25\n  cpu-cores: 1\n  memory-mb: 260\n  file-descriptors: 4100\n  link-mbps: 1000.0\n  disk-mb: 0\n\
             data-directory: null\ndiscovery: \"platform\"\nentry-point: \"virtual_ip\"\nheartbeat-ms: 1200\n\
             contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"scatter\"\n  - \"platform\"\n\
             fault-tolerance:\n  machines: 2\n  zones: 0\n  regions: 0\n\
             bounds:\n  seed-lag-s: 3\n  reuse-after-s: 2\n  stable-window-ms: 4000\n  acknowledge-ms: 5000\n  catch-up-s: 4\n\
             \x20 drain-ms: 3000\n  grace-s: 6\n  loss-slack-ms: 200\n  config-propagation-ms: 3000\n  rollback-slack-ms: 250\n\
             \x20 max-stretch-ms: 12000\n  retry-budget-ratio: 0.2\n  budget-window-s: 10\n  budget-slack: 54\n  recovery-s: 12\n\
             platform:\n  address: \"{store}\"\n  form: \"kv\"\n  writes-per-s: 400\n  reads-per-s: 2000\n  history-s: 20\n\
             \x20 value-bytes: 1048576\n  min-ttl-ms: 1000\n"
        );
        let path = dir.join("settings.yaml");
        std::fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        all.push(Arc::new(Gateway {
            name: name.to_owned(),
            ip: ip.clone(),
            front: address(8226),
            ready: address(8227),
            control: address(8224),
            dir,
            process: Mutex::new(None),
        }));
    }
    all
}

impl Gateway {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let run = std::env::var("GATEWAY_COMMAND").unwrap_or_else(|_| "target/release/coltsfootgw gateway".to_owned());
        let mut words = run.split(' ');
        let log = File::options().create(true).append(true).open(self.dir.join("log"));
        let log = log.unwrap_or_else(|e| cannot_run(&e.to_string()));
        let process = Command::new(words.next().unwrap())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("COLTSFOOTGW_NODE_FILE", self.dir.join("settings.yaml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let process = process.unwrap_or_else(|e| cannot_run(&format!("{run}: {e}")));
        STARTED.lock().unwrap().push(process.id());
        *self.process.lock().unwrap() = Some(process);
    }

    /// Whether the readiness path answers 200, as the platform asks it.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        let sent = conn.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        sent.is_ok() && conn.read().is_ok_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                cannot_run(&format!("{} is not ready", self.name));
            }
            sleep_ms(50);
        }
    }

    pub fn pid(&self) -> u32 {
        self.process.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut process = self.process.lock().unwrap();
        let status = process.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&self) {
        if let Some(mut process) = self.process.lock().unwrap().take() {
            let _ = process.kill();
            let _ = process.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != process.id());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until(what: &str, seconds: u64, is_done: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_secs(seconds);
    while !is_done() {
        if Instant::now() > until {
            cannot_run(&format!("not in time: {what}"));
        }
        sleep_ms(20);
    }
}
