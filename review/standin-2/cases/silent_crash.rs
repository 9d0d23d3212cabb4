//! A request crashes each backend that begins to run it. The crashed backends are silent: they
//! send nothing and accept no connection, and are back after some seconds.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::End;
use crate::http::{read_request, response};
use crate::store::Store;
use crate::world::{
    Call, Folder, Gateway, HEARTBEAT, Record, Route, put_config, sleep_ms, wall_ms,
};

const SERVICE: &str = "kafi81c";
const BACKENDS: usize = 16;
const WORK_MS: u64 = 90;
const DEADLINE_MS: u64 = 4_000;
const CRASHING: &str = "/goka902/crashing";
/// A backend crashes so long after it began to run the request, and is away for so long.
const TIME_TO_CRASH_MS: u64 = 100;
const AWAY_MS: u64 = 3_000;
/// The crashing request comes so often, one after the other.
const CRASHING_INTERVAL_MS: u64 = 550;
const CRASHING_REQUESTS: usize = 29;
const INTERVAL_MS: u64 = 22;
/// `stable-window-ms`.
const STABLE_WINDOW_S: f64 = 4.0;
const RETRIES_ALLOWED: usize = 3;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// What the requests have done, for all backends.
#[derive(Default)]
struct Seen {
    /// Times of the crashes, and at which the crashing request reached a backend.
    crashes: Vec<f64>,
    arrivals: Vec<f64>,
    /// Identifiers of the other requests that backends began to run.
    ran: HashSet<String>,
}

struct Server {
    name: String,
    zone: &'static str,
    address: SocketAddr,
    is_silent: bool,
    is_away: AtomicBool,
    /// Number of the incarnation.
    start: AtomicU64,
    born: AtomicU64,
    sequence: AtomicU64,
    seen: Arc<Mutex<Seen>>,
    record: Record,
    store: Store,
}

impl Server {
    fn start(
        record: &Record,
        store: &Store,
        seen: &Arc<Mutex<Seen>>,
        n: usize,
        is_silent: bool,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            name: format!("i-{n:02}"),
            zone: ["bne", "tsv", "cns", "rok"][n % 4],
            address: listener.local_addr().expect("an address"),
            is_silent,
            is_away: AtomicBool::new(false),
            start: AtomicU64::new(1),
            born: AtomicU64::new(wall_ms()),
            sequence: AtomicU64::new(0),
            seen: seen.clone(),
            record: record.clone(),
            store: store.clone(),
        });
        server.report();
        let beating = server.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if !beating.is_away.load(Ordering::Relaxed) {
                    beating.report();
                }
            }
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        server
    }

    fn id(&self) -> String {
        format!("{}-{}", self.name, self.start.load(Ordering::Relaxed))
    }

    fn report(&self) {
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity-slots\":2,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":{},\"born\":{}}}",
            self.address,
            self.zone,
            self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            self.born.load(Ordering::Relaxed)
        );
        self.store
            .put(&format!("servers/{}", self.id()), entry.as_bytes());
    }

    /// Accepts connections, and starts the next incarnation some time after a crash.
    fn accept(self: &Arc<Self>, mut listener: TcpListener) {
        loop {
            let accepted = listener.accept();
            if !self.is_away.load(Ordering::Relaxed) {
                if let Ok((stream, _)) = accepted {
                    let server = self.clone();
                    thread::spawn(move || drop(server.serve(stream)));
                }
                continue;
            }
            if self.is_silent {
                let waiting = self.fill_queue(&listener);
                sleep_ms(AWAY_MS);
                drop((waiting, accepted));
                // SAFETY: the call changes the backlog of a listening socket that is open.
                unsafe { listen(listener.as_raw_fd(), 128) };
            } else {
                // New connections are refused.
                drop((accepted, listener));
                sleep_ms(AWAY_MS);
                let Ok(again) = TcpListener::bind(self.address) else {
                    return;
                };
                listener = again;
            }
            self.start_again();
        }
    }

    /// Fills the queue of new connections, so that further ones hang.
    fn fill_queue(&self, listener: &TcpListener) -> Vec<TcpStream> {
        // SAFETY: the call changes the backlog of a listening socket that is open.
        unsafe { listen(listener.as_raw_fd(), 0) };
        let mut waiting = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(30))
        {
            waiting.push(stream);
            if waiting.len() > 64 {
                break;
            }
        }
        waiting
    }

    fn start_again(&self) {
        self.born.store(wall_ms(), Ordering::Relaxed);
        self.sequence.store(0, Ordering::Relaxed);
        self.start.fetch_add(1, Ordering::Relaxed);
        self.is_away.store(false, Ordering::Relaxed);
        self.report();
        self.record.write(&format!("{} has started", self.id()));
    }

    /// Serves a connection of one incarnation.
    fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let start = self.start.load(Ordering::Relaxed);
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(20)))?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            if self.has_crashed(start) {
                // Silent connections stay open until the process is there again.
                while self.is_silent && self.start.load(Ordering::Relaxed) == start {
                    sleep_ms(10);
                }
                return Ok(());
            }
            let request = match read_request(&mut reader) {
                Ok(Some(request)) => request,
                Ok(None) => return Ok(()),
                Err(e) if is_timeout(&e) => continue,
                Err(e) => return Err(e),
            };
            if self.has_crashed(start) {
                continue;
            }
            let id = request.header("request-id").to_owned();
            if request.header("expect-instance") != self.id() {
                writer.write_all(&response(
                    421,
                    &[("Request-Id", &id), ("Not-Executed", "1")],
                    b"",
                ))?;
                continue;
            }
            self.record
                .write(&format!("{} begins to run {id}", self.id()));
            if request.path() == CRASHING {
                self.seen
                    .lock()
                    .unwrap()
                    .arrivals
                    .push(self.record.seconds());
                let crashing = self.clone();
                thread::spawn(move || {
                    sleep_ms(TIME_TO_CRASH_MS);
                    crashing.crash(start);
                });
                while !self.has_crashed(start) {
                    sleep_ms(5);
                }
                continue;
            }
            self.seen.lock().unwrap().ran.insert(id.clone());
            sleep_ms(WORK_MS);
            if !self.has_crashed(start) {
                let stamp = format!("{}.{id}", self.id());
                writer.write_all(&response(
                    200,
                    &[("Request-Id", &id), ("Server-Stamp", &stamp)],
                    b"booked",
                ))?;
            }
        }
    }

    fn has_crashed(&self, start: u64) -> bool {
        self.is_away.load(Ordering::Relaxed) || self.start.load(Ordering::Relaxed) != start
    }

    /// Crashes an incarnation, unless it has ended.
    fn crash(&self, start: u64) {
        if self.start.load(Ordering::Relaxed) != start || self.is_away.swap(true, Ordering::Relaxed)
        {
            return;
        }
        self.seen
            .lock()
            .unwrap()
            .crashes
            .push(self.record.seconds());
        self.record.write(&format!("{} crashes", self.id()));
        // Wakes the loop that accepts connections.
        drop(TcpStream::connect_timeout(
            &self.address,
            Duration::from_millis(30),
        ));
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

pub fn run(record: &Record, trouble: bool) -> End {
    let folder = Folder::create();
    let store = Store::start(500);
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let _servers: Vec<Arc<Server>> = (0..BACKENDS)
        .map(|n| Server::start(record, &store, &seen, n, trouble))
        .collect();
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        timeout_ms: DEADLINE_MS,
        objective_ms: 400,
        attempts: 2,
        service: SERVICE,
    };
    let routes = [
        route("r-ibw6kpq", "/goka902/", "safe"),
        route("r-9xk2pqa", "/boba802/", "unsafe"),
    ];
    put_config(&store, record, 7, &routes);
    let gateways = Arc::new(Gateway::start_all(record, &folder, &store, 3));
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(10)))
    {
        return End::NotRun;
    }
    sleep_ms(4_500);
    let is_over = Arc::new(AtomicBool::new(false));
    let load = {
        let (is_over, record, gateways) = (is_over.clone(), record.clone(), gateways.clone());
        thread::spawn(move || book_until(&is_over, &record, &gateways))
    };
    sleep_ms(1_000);
    let mut calls = Vec::new();
    for n in 0..CRASHING_REQUESTS {
        let (record, gateways) = (record.clone(), gateways.clone());
        calls.push(thread::spawn(move || {
            let id = format!("c{n:015x}");
            let call = Call {
                method: "GET",
                path: CRASHING,
                id: &id,
                deadline_ms: DEADLINE_MS,
                body: b"",
            };
            call.send(&record, &gateways[n % gateways.len()]);
        }));
        sleep_ms(CRASHING_INTERVAL_MS);
    }
    is_over.store(true, Ordering::Relaxed);
    for call in calls {
        let _ = call.join();
    }
    let Ok((booked, unanswered)) = load.join() else {
        return End::NotRun;
    };
    let seen = seen.lock().unwrap();
    let Some(third) = seen.crashes.get(2).copied() else {
        return End::NotRun;
    };
    let late = seen
        .arrivals
        .iter()
        .filter(|at| **at > third + STABLE_WINDOW_S)
        .count();
    let lost = unanswered
        .iter()
        .filter(|id| seen.ran.contains(*id))
        .count();
    record.write(&format!(
        "{} crashes; the request reached backends {} times, {late} of them later than 4 s after the third crash \
         ({RETRIES_ALLOWED} allowed); of {booked} bookings {} were answered neither by a backend nor as not run, {lost} of \
         which had begun to run",
        seen.crashes.len(),
        seen.arrivals.len(),
        unanswered.len()
    ));
    End::of(late > RETRIES_ALLOWED)
}

/// Books until told to stop; returns how many bookings were sent, and those without an
/// answer of a backend or the promise that they have not run.
fn book_until(
    is_over: &AtomicBool,
    record: &Record,
    gateways: &Arc<Vec<Gateway>>,
) -> (usize, Vec<String>) {
    let mut calls = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let n = calls.len();
        let (record, gateways) = (record.clone(), gateways.clone());
        calls.push(thread::spawn(move || {
            let id = format!("{n:016x}");
            let call = Call {
                method: "POST",
                path: "/boba802/2f",
                id: &id,
                deadline_ms: DEADLINE_MS,
                body: b"one",
            };
            let answer = call.send(&record, &gateways[n % gateways.len()]);
            let is_answered = answer.is_some_and(|a| a.status == 200 || a.status == 503);
            (!is_answered).then_some(id)
        }));
        sleep_ms(INTERVAL_MS);
    }
    let sent = calls.len();
    let unanswered = calls
        .into_iter()
        .filter_map(|call| call.join().ok().flatten())
        .collect();
    (sent, unanswered)
}
