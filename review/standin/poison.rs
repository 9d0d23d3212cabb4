//! A request that crashes each server that begins to run it comes again and again, and its
//! client leaves before the server crashes.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::base::*;

const HOST: &str = "search.example";
const POISON: &str = "/read/the-same-report";
const SERVERS: usize = 20;
const HEARTBEAT_MS: u64 = 1_200;
const WORK_MS: u64 = 100;
const BOOKERS_PER_GATEWAY: usize = 6;
/// A server crashes so long after it began to run the request, whether or not its client stays.
const TIME_TO_CRASH_MS: u64 = 300;
/// A crashed server is back after some seconds, with a new identifier.
const DOWN_MS: u64 = 2_000;
/// The objective of the route is 400 ms; clients that leave do so within half of it.
const LEAVES_AFTER_MS: u64 = 150;
/// The time in which clients leave early; later they stay.
const LEAVING_FOR_MS: u64 = 8_000;
const REPEAT_MS: u64 = 400;
const LASTS_MS: u64 = 16_000;
const STABLE_WINDOW_MS: u64 = 4_000;
/// Retries that may reach a server later than the stable window after the third crash.
const ALLOWED_RETRIES: usize = 3;

#[derive(Default)]
struct Seen {
    /// When the request reached a server.
    arrivals: Mutex<Vec<u64>>,
    crashes: Mutex<Vec<u64>>,
    /// When bookings were answered, and how.
    bookings: Mutex<Vec<(u64, u16)>>,
}

struct Server {
    number: usize,
    address: SocketAddr,
    starts: AtomicU64,
    is_down: AtomicBool,
    open: Mutex<HashMap<u64, TcpStream>>,
    next: AtomicU64,
}

impl Server {
    fn id(&self) -> String {
        format!("i-{:02}-{:02}", self.number, self.starts.load(Ordering::SeqCst))
    }

    /// Accepts connections, but refuses them while the server is down.
    fn run(self: &Arc<Self>, listener: TcpListener, seen: &Arc<Seen>, record: &Arc<Record>) {
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
                sleep_ms(2);
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(bound) = &listener else {
                sleep_ms(2);
                continue;
            };
            let _ = bound.set_nonblocking(true);
            match bound.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let key = self.next.fetch_add(1, Ordering::Relaxed);
                    if let Ok(clone) = stream.try_clone() {
                        self.open.lock().unwrap().insert(key, clone);
                    }
                    let (server, seen, record) = (self.clone(), seen.clone(), record.clone());
                    thread::spawn(move || {
                        server.handle(stream, &seen, &record);
                        server.open.lock().unwrap().remove(&key);
                    });
                }
                Err(_) => sleep_ms(1),
            }
        }
    }

    fn handle(self: &Arc<Self>, stream: TcpStream, seen: &Arc<Seen>, record: &Arc<Record>) {
        let mut conn = Conn::new(stream);
        while let Ok(request) = conn.read() {
            let (of, id) = (request.header("request-id").unwrap_or_default().to_owned(), self.id());
            if request.header("expect-instance") != Some(id.as_str()) {
                let headers = [("Request-Id", of.as_str()), ("Instance-Id", &id)];
                let _ = conn.write(&response("421 Misdirected Request", &headers, b""));
                continue;
            }
            if request.target() == POISON {
                seen.arrivals.lock().unwrap().push(record.ms());
                record.line(&format!("server {id} begins to run {of}, which crashes it"));
                let (server, seen, record) = (self.clone(), seen.clone(), record.clone());
                thread::spawn(move || server.crash(&id, &seen, &record));
                sleep_ms(TIME_TO_CRASH_MS + 500);
                return;
            }
            sleep_ms(WORK_MS);
            let stamp = format!("{id}.{of}");
            let headers = [("Request-Id", of.as_str()), ("Server-Stamp", &stamp), ("Server-Load", "1,0,5")];
            if conn.write(&response("200 OK", &headers, stamp.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn crash(&self, id: &str, seen: &Seen, record: &Record) {
        sleep_ms(TIME_TO_CRASH_MS);
        if id != self.id() || self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        seen.crashes.lock().unwrap().push(record.ms());
        record.line(&format!("server {id} crashes"));
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        sleep_ms(DOWN_MS);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
    }
}

fn configuration() -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"route-kind\":\"{kind}\",\
             \"timeout-ms\":2000,\"target-latency-ms\":400,\"priority\":2,\"service\":\"portal\",\"max-attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"portal\",\"health-check-path\":\"/health\",\"max-connections\":41,\
         \"protocol\":\"h1\",\"transport-security\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        route("read", "safe"),
        route("book", "unsafe")
    )
}

fn booker(gateway: &Gateway, number: usize, seen: &Seen, record: &Record, stop: &AtomicBool) {
    let mut kept = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{}-{number}-{count}", gateway.name);
        let path = format!("/book/{id}");
        let ask_it = Ask { method: "POST", host: HOST, path: &path, id: &id, deadline_ms: 2_000, body: b"a booking" };
        let status = ask(gateway.front, &mut kept, &ask_it).map_or(0, |a| a.status());
        if status != 200 {
            record.line(&format!("client gets {status} for {id}"));
        }
        seen.bookings.lock().unwrap().push((record.ms(), status));
        sleep_ms(30);
    }
}

/// Sends the request that crashes servers; leaves early, or stays for the answer.
fn send_poison(gateway: &Gateway, number: usize, leaves: bool, record: &Record) {
    let id = format!("poison-{number}");
    let ask_it = Ask { method: "GET", host: HOST, path: POISON, id: &id, deadline_ms: 2_000, body: b"" };
    let Ok(mut stream) = TcpStream::connect(gateway.front) else {
        return;
    };
    let _ = std::io::Write::write_all(&mut stream, &ask_it.bytes());
    let limit = if leaves { LEAVES_AFTER_MS } else { 2_500 };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(limit)));
    let mut conn = Conn::new(stream);
    match conn.read() {
        Ok(answer) => record.line(&format!("{id} sent to {} is answered {}", gateway.name, answer.status())),
        Err(_) => record.line(&format!("{id} sent to {}: its client leaves without an answer", gateway.name)),
    }
    let _ = conn.stream.shutdown(Shutdown::Both);
}

pub fn run(record: &str, dir: &str) -> bool {
    let record = Record::create(record);
    let store = Store::new();
    let seen = Arc::new(Seen::default());
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let (listener, address) = listen();
        let server = Arc::new(Server {
            number,
            address,
            starts: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
            next: AtomicU64::new(0),
        });
        servers.push(server.clone());
        let (seen, record) = (seen.clone(), record.clone());
        thread::spawn(move || server.run(listener, &seen, &record));
    }
    let beating = store.clone();
    thread::spawn(move || {
        let mut known: HashMap<usize, String> = HashMap::new();
        for seq in 1.. {
            for server in &servers {
                if !server.is_down.load(Ordering::SeqCst) {
                    let id = server.id();
                    if let Some(old) = known.insert(server.number, id.clone()).filter(|old| *old != id) {
                        beating.remove(&format!("servers/{old}"));
                    }
                    let entry = format!(
                        "{{\"service\":\"portal\",\"address\":\"{}\",\"zone\":\"z{}\",\"version\":\"v1\",\"capacity-slots\":5,\
                         \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":{seq},\"born\":{}}}",
                        server.address,
                        server.number % 3 + 1,
                        1_700_000_000_000 + server.starts.load(Ordering::SeqCst) * 10_000
                    );
                    beating.put(&format!("servers/{id}"), entry.as_bytes(), 0);
                }
                sleep_ms(if seq == 1 { 0 } else { HEARTBEAT_MS / SERVERS as u64 });
            }
        }
    });
    store.put("op/config", configuration().as_bytes(), 0);
    let address = store.serve(Arc::default());
    let plans = [("g1", "z1"), ("g2", "z2"), ("g3", "z3")];
    let plans = plans.map(|(name, zone)| Plan { name, zone, store: address });
    let gateways = plan_gateways(dir, &plans);
    gateways.iter().for_each(|g| g.start());
    gateways.iter().for_each(|g| g.wait_ready());
    sleep_ms(5_000);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..BOOKERS_PER_GATEWAY {
            let (gateway, seen, record, stop) = (gateway.clone(), seen.clone(), record.clone(), stop.clone());
            clients.push(thread::spawn(move || booker(&gateway, number, &seen, &record, &stop)));
        }
    }
    sleep_ms(3_000);
    let began = record.ms();
    for number in 0.. {
        let since = record.ms() - began;
        if since > LASTS_MS {
            break;
        }
        let leaves = has_trouble() && since + LEAVES_AFTER_MS < LEAVING_FOR_MS;
        send_poison(&gateways[number % gateways.len()], number, leaves, &record);
        sleep_ms(REPEAT_MS);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    gateways.iter().for_each(|g| g.kill());
    judge(&seen, &record)
}

fn judge(seen: &Seen, record: &Record) -> bool {
    let (arrivals, crashes) = (seen.arrivals.lock().unwrap(), seen.crashes.lock().unwrap());
    let bookings = seen.bookings.lock().unwrap();
    if bookings.len() < 300 {
        cannot_run("hardly any request was served");
    }
    let from = crashes.get(2).map_or(u64::MAX, |third| third + STABLE_WINDOW_MS);
    let late = arrivals.iter().filter(|at| **at > from).count();
    let lost = bookings.iter().filter(|(at, status)| *at > from && *status != 200).count();
    record.say(&format!(
        "{} sends of the request reached a server and {} crashes followed; {late} came later than {STABLE_WINDOW_MS} ms after the third crash",
        arrivals.len(), crashes.len()
    ));
    record.say(&format!("{lost} of {} bookings were lost beside it since then", bookings.len()));
    if late > ALLOWED_RETRIES {
        record.say(&format!("BUDGET: {late} retries, {ALLOWED_RETRIES} are allowed"));
    }
    late > ALLOWED_RETRIES
}
