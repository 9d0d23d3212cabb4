//! A server that is full refuses a request as not executed and sends that refusal a second
//! time, late: where the answer to the next request on the connection is expected.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base::*;

const HOST: &str = "bookings.example";
const SERVERS: usize = 5;
/// The servers that send extra answers.
const FAULTY: usize = 3;
/// Slots of a server, and the requests that wait for one.
const SLOTS: usize = 5;
const QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(20);
const CLIENTS_PER_GATEWAY: usize = 20;
/// The load, and the part of it in which extra answers are sent.
const LOAD_MS: u64 = 12_000;
const EXTRA_FROM_MS: u64 = 4_000;
const EXTRA_FOR_MS: u64 = 5_000;
/// Share of a faulty server's answers in that time that are followed by an extra one.
const EXTRA_SHARE: f64 = 0.03;
/// An extra answer is late by this time at most.
const LATE: Duration = Duration::from_millis(1_000);

#[derive(Default)]
struct Seen {
    /// Servers at which each request began to run.
    runs: Mutex<HashMap<String, Vec<usize>>>,
    /// Statuses with which clients were answered; 0 for none.
    answers: Mutex<HashMap<String, u16>>,
    extras: AtomicUsize,
    /// Whether extra answers are sent now.
    is_garbling: AtomicBool,
    /// Extra answers in whose place the answer to a request that ran was expected.
    crossed: Mutex<HashMap<String, String>>,
}

struct Server {
    number: usize,
    id: String,
    is_faulty: bool,
    /// Requests that run or wait.
    inside: Mutex<usize>,
    running: Mutex<usize>,
    answers: AtomicUsize,
    extras: AtomicUsize,
}

impl Server {
    fn may_send_extra(&self, seen: &Seen) -> bool {
        if !seen.is_garbling.load(Ordering::SeqCst) {
            return false;
        }
        let answers = self.answers.load(Ordering::Relaxed) as f64;
        let extras = self.extras.load(Ordering::Relaxed) as f64;
        self.is_faulty && extras + 1.0 <= answers * EXTRA_SHARE
    }

    /// Counts the answers in the time of the extra ones.
    fn count_answer(&self, seen: &Seen) {
        let is_garbling = seen.is_garbling.load(Ordering::SeqCst);
        self.answers.fetch_add(usize::from(is_garbling), Ordering::Relaxed);
    }

    fn load(&self) -> String {
        let running = *self.running.lock().unwrap();
        let inside = *self.inside.lock().unwrap();
        format!("{running},{},{SLOTS}", inside.saturating_sub(running))
    }

    fn handle(&self, stream: TcpStream, seen: &Seen, record: &Record) {
        let mut conn = Conn::new(stream);
        let mut pending: Option<(Vec<u8>, String, Instant)> = None;
        while let Ok(request) = conn.read() {
            let id = request.header("request-id").unwrap_or_default().to_owned();
            if request.header("expect-instance") != Some(self.id.as_str()) {
                let headers = [("Request-Id", id.as_str()), ("Instance-Id", &self.id)];
                if conn.write(&response("421 Misdirected Request", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let is_full = {
                let mut inside = self.inside.lock().unwrap();
                let is_full = *inside >= SLOTS + QUEUE;
                *inside += usize::from(!is_full);
                is_full
            };
            if is_full {
                let load = self.load();
                let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1"), ("Server-Load", &load)];
                let refusal = response("503 Service Unavailable", &headers, b"");
                self.count_answer(seen);
                record.line(&format!("server {} refuses {id}, not executed", self.number));
                if conn.write(&refusal).is_err() {
                    return;
                }
                let is_extra = has_trouble() && pending.is_none() && self.may_send_extra(seen);
                // Counted whether or not a request follows in time.
                self.extras.fetch_add(usize::from(is_extra), Ordering::Relaxed);
                if is_extra {
                    pending = Some((refusal, id, Instant::now()));
                }
                continue;
            }
            while {
                let mut running = self.running.lock().unwrap();
                let has_slot = *running < SLOTS;
                *running += usize::from(has_slot);
                !has_slot
            } {
                sleep_ms(1);
            }
            seen.runs.lock().unwrap().entry(id.clone()).or_default().push(self.number);
            record.line(&format!("server {} runs {id}", self.number));
            if let Some((extra, of, at)) = pending.take()
                && at.elapsed() < LATE
                && seen.is_garbling.load(Ordering::SeqCst)
            {
                seen.extras.fetch_add(1, Ordering::Relaxed);
                seen.crossed.lock().unwrap().insert(id.clone(), of.clone());
                record.line(&format!("server {} sends its refusal of {of} a second time, while {id} runs", self.number));
                let _ = conn.write(&extra);
            }
            thread::sleep(WORK);
            *self.running.lock().unwrap() -= 1;
            *self.inside.lock().unwrap() -= 1;
            let stamp = format!("{}.{id}", self.id);
            let load = self.load();
            let headers = [("Request-Id", id.as_str()), ("Server-Stamp", &stamp), ("Server-Load", &load)];
            self.count_answer(seen);
            if conn.write(&response("200 OK", &headers, stamp.as_bytes())).is_err() {
                return;
            }
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-book\",\"host\":\"{HOST}\",\"prefix\":\"/book/\",\
         \"route-kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":800,\"priority\":2,\
         \"service\":\"portal\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"portal\",\"health-check-path\":\"/health\",\"max-connections\":35,\
         \"protocol\":\"h1\",\"transport-security\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

fn client(gateway: &Gateway, number: usize, seen: &Seen, record: &Record, stop: &AtomicBool) {
    let mut kept = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{}-{number}-{count}", gateway.name);
        let path = format!("/book/{id}");
        let ask_it = Ask {
            method: "POST",
            host: HOST,
            path: &path,
            id: &id,
            deadline_ms: 3_000,
            body: b"a booking",
        };
        let answer = ask(gateway.front, &mut kept, &ask_it);
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client gets {status} for {id}"));
        seen.answers.lock().unwrap().insert(id, status);
        // A refused client comes back later with a request of its own.
        sleep_ms(if status == 200 { 10 } else { 60 });
    }
}

pub fn run(record: &str, dir: &str) -> bool {
    let record = Record::create(record);
    let store = Store::new();
    let seen = Arc::new(Seen::default());
    for number in 0..SERVERS {
        let (listener, address) = listen();
        let server = Arc::new(Server {
            number,
            id: format!("i-{number:04}"),
            is_faulty: number < FAULTY,
            inside: Mutex::default(),
            running: Mutex::default(),
            answers: AtomicUsize::new(0),
            extras: AtomicUsize::new(0),
        });
        let entry = format!(
            "{{\"service\":\"portal\",\"address\":\"{address}\",\"zone\":\"z{}\",\"version\":\"v1\",\
             \"capacity-slots\":{SLOTS},\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":1,\"born\":1700000000000}}",
            number % 3 + 1
        );
        store.put(&format!("servers/{}", server.id), entry.as_bytes(), 0);
        let (seen, record) = (seen.clone(), record.clone());
        serve(listener, move |stream| server.handle(stream, &seen, &record));
    }
    store.put("op/config", configuration().as_bytes(), 0);
    let address = store.serve(Arc::default());
    let plans = [("g1", "z1"), ("g2", "z2"), ("g3", "z3")];
    let plans = plans.map(|(name, zone)| Plan { name, zone, store: address });
    let gateways = plan_gateways(dir, &plans);
    gateways.iter().for_each(|g| g.start());
    gateways.iter().for_each(|g| g.wait_ready());
    sleep_ms(4_000);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..CLIENTS_PER_GATEWAY {
            let (gateway, seen, record, stop) = (gateway.clone(), seen.clone(), record.clone(), stop.clone());
            clients.push(thread::spawn(move || client(&gateway, number, &seen, &record, &stop)));
        }
    }
    sleep_ms(EXTRA_FROM_MS);
    seen.is_garbling.store(true, Ordering::SeqCst);
    record.line("the time of extra answers begins");
    sleep_ms(EXTRA_FOR_MS);
    seen.is_garbling.store(false, Ordering::SeqCst);
    record.line("the time of extra answers ends");
    sleep_ms(LOAD_MS - EXTRA_FROM_MS - EXTRA_FOR_MS);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(3_000);
    let ended: Vec<String> = gateways.iter().filter_map(|g| g.ended()).collect();
    gateways.iter().for_each(|g| g.kill());
    judge(&seen, &record, &ended)
}

fn judge(seen: &Seen, record: &Record, ended: &[String]) -> bool {
    let (runs, answers) = (seen.runs.lock().unwrap(), seen.answers.lock().unwrap());
    let crossed = seen.crossed.lock().unwrap();
    let count = |status: u16| answers.values().filter(|s| **s == status).count();
    record.say(&format!(
        "{} requests: {} answered 200, {} 503, {} 502, {} 504, {} closed; {} extra answers; ended: {ended:?}",
        answers.len(), count(200), count(503), count(502), count(504), count(0),
        seen.extras.load(Ordering::Relaxed)
    ));
    if count(200) < 100 {
        cannot_run("hardly any request was served");
    }
    let mut twice = 0;
    let mut refused = 0;
    for (id, at) in runs.iter() {
        let status = answers.get(id).copied().unwrap_or(0);
        let extra = crossed.get(id).map_or(String::new(), |of| format!("; got the extra refusal of {of}"));
        if at.len() > 1 {
            twice += 1;
            record.say(&format!("TWICE: {id} ran at servers {at:?}, answered {status}{extra}"));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record.say(&format!("REFUSED: {id} ran at servers {at:?} and was answered {status}{extra}"));
        }
    }
    record.say(&format!("{twice} requests ran twice, {refused} were refused as not run and had run"));
    twice + refused > 0
}
