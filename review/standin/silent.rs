//! The gateways' open connections to the store go silent, while new ones work. A server leaves
//! meanwhile without a report that it drains: its entry is removed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::*;

const HOST: &str = "bookings.example";
const SERVERS: usize = 4;
const HEARTBEAT_MS: u64 = 1_200;
const WORK_MS: u64 = 60;
const CLIENTS: usize = 2;
const DRAIN_MS: u64 = 3_000;
const STABLE_WINDOW_MS: u64 = 4_000;
/// The server leaves so long after the connections went silent.
const LEAVE_AFTER_MS: u64 = 300;
/// It serves for drain-ms and a little longer, and then exits.
const SERVES_ON_MS: u64 = 4_000;
const WATCHED_MS: u64 = 8_000;
const START_GAP_MS: u64 = 120;

struct Arrival {
    id: String,
    server: usize,
    at: u64,
}

#[derive(Default)]
struct Seen {
    arrivals: Mutex<Vec<Arrival>>,
    sent: Mutex<HashMap<String, u64>>,
    statuses: Mutex<HashMap<String, u16>>,
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-book\",\"host\":\"{HOST}\",\"prefix\":\"/book/\",\
         \"route-kind\":\"unsafe\",\"timeout-ms\":2000,\"target-latency-ms\":400,\"priority\":2,\
         \"service\":\"portal\",\"max-attempts\":2}}],\
         \"services\":[{{\"name\":\"portal\",\"health-check-path\":\"/health\",\"max-connections\":41,\
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
        let ask_it = Ask { method: "POST", host: HOST, path: &path, id: &id, deadline_ms: 2_000, body: b"a booking" };
        seen.sent.lock().unwrap().insert(id.clone(), record.ms());
        let status = ask(gateway.front, &mut kept, &ask_it).map_or(0, |a| a.status());
        record.line(&format!("client gets {status} for {id}"));
        seen.statuses.lock().unwrap().insert(id, status);
        sleep_ms(30);
    }
}

pub fn run(record: &str, dir: &str) -> bool {
    let record = Record::create(record);
    let store = Store::new();
    let seen = Arc::new(Seen::default());
    let mut entries = Vec::new();
    let leaving = Arc::new(AtomicBool::new(false));
    let has_exited = Arc::new(AtomicBool::new(false));
    for server in 0..SERVERS {
        let (listener, address) = listen();
        let id = format!("i-{server:04}");
        let entry = format!(
            "{{\"service\":\"portal\",\"address\":\"{address}\",\"zone\":\"z{}\",\"version\":\"v1\",\
             \"capacity-slots\":5,\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":SEQ,\"born\":1700000000000}}",
            server % 3 + 1
        );
        entries.push((format!("servers/{id}"), entry));
        let (seen, record, has_exited) = (seen.clone(), record.clone(), has_exited.clone());
        serve(listener, move |stream| {
            let has_exited = || server == 0 && has_exited.load(Ordering::SeqCst);
            let mut conn = Conn::new(stream);
            while let Ok(request) = conn.read() {
                if has_exited() {
                    return;
                }
                let of = request.header("request-id").unwrap_or_default().to_owned();
                if request.header("expect-instance") != Some(id.as_str()) {
                    let headers = [("Request-Id", of.as_str()), ("Instance-Id", &id)];
                    let _ = conn.write(&response("421 Misdirected Request", &headers, b""));
                    continue;
                }
                record.line(&format!("server {server} runs {of}"));
                seen.arrivals.lock().unwrap().push(Arrival { id: of.clone(), server, at: record.ms() });
                sleep_ms(WORK_MS);
                if has_exited() {
                    record.line(&format!("server 0 has exited while it ran {of}"));
                    return;
                }
                let stamp = format!("{id}.{of}");
                let headers = [("Request-Id", of.as_str()), ("Server-Stamp", &stamp), ("Server-Load", "1,0,5")];
                if conn.write(&response("200 OK", &headers, stamp.as_bytes())).is_err() {
                    return;
                }
            }
        });
    }
    let leaver = entries[0].0.clone();
    let (beating, gone) = (store.clone(), leaving.clone());
    thread::spawn(move || {
        for seq in 1.. {
            for (n, (key, entry)) in entries.iter().enumerate() {
                if n > 0 || !gone.load(Ordering::SeqCst) {
                    beating.put(key, entry.replace("SEQ", &seq.to_string()).as_bytes(), 0);
                }
                sleep_ms(if seq == 1 { 0 } else { HEARTBEAT_MS / SERVERS as u64 });
            }
        }
    });
    store.put("op/config", configuration().as_bytes(), 0);
    let view = Arc::new(View::default());
    let address = store.serve(view.clone());
    let plans = [("g1", "z1"), ("g2", "z2"), ("g3", "z3")];
    let plans = plans.map(|(name, zone)| Plan { name, zone, store: address });
    let gateways = plan_gateways(dir, &plans);
    for gateway in &gateways {
        gateway.start();
        sleep_ms(START_GAP_MS);
    }
    gateways.iter().for_each(|g| g.wait_ready());
    sleep_ms(5_000);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..CLIENTS {
            let (gateway, seen, record, stop) = (gateway.clone(), seen.clone(), record.clone(), stop.clone());
            clients.push(thread::spawn(move || client(&gateway, number, &seen, &record, &stop)));
        }
    }
    sleep_ms(5_000);
    let silent_at = record.ms();
    if has_trouble() {
        view.silences.fetch_add(1, Ordering::SeqCst);
        record.line("the open connections to the store go silent");
    }
    sleep_ms(LEAVE_AFTER_MS);
    leaving.store(true, Ordering::SeqCst);
    sleep_ms(2);
    store.remove(&leaver);
    let removed_at = record.ms();
    record.line("server 0 leaves: its entry is removed, as the store acknowledges");
    sleep_ms(SERVES_ON_MS);
    has_exited.store(true, Ordering::SeqCst);
    record.line("server 0 exits");
    sleep_ms(WATCHED_MS - SERVES_ON_MS);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    gateways.iter().for_each(|g| g.kill());
    judge(&seen, &record, silent_at, removed_at)
}

fn judge(seen: &Seen, record: &Record, silent_at: u64, removed_at: u64) -> bool {
    let sent = seen.sent.lock().unwrap();
    let arrivals = seen.arrivals.lock().unwrap();
    let in_touch_at = silent_at + STABLE_WINDOW_MS;
    let is_late = |a: &&Arrival| {
        a.server == 0 && a.at > removed_at + DRAIN_MS && sent[&a.id] > in_touch_at
    };
    let late: Vec<&Arrival> = arrivals.iter().filter(is_late).collect();
    let statuses = seen.statuses.lock().unwrap();
    for arrival in late.iter().take(30) {
        record.say(&format!(
            "DRAIN: {} reached server 0 {} ms after the removal, {} ms after the connections went silent; answered {}",
            arrival.id, arrival.at - removed_at, arrival.at - silent_at, statuses.get(&arrival.id).unwrap_or(&0)
        ));
    }
    let lost = late.iter().filter(|a| statuses.get(&a.id) != Some(&200)).count();
    let last = arrivals.iter().filter(|a| a.server == 0).map(|a| a.at).max().unwrap_or(0);
    record.say(&format!(
        "{} arrivals; the last one at server 0 came {} ms after the removal; {} requests reached it too late, {lost} of them were not answered with success",
        arrivals.len(), last.saturating_sub(removed_at), late.len()
    ));
    if arrivals.len() < 500 {
        cannot_run("hardly any request was served");
    }
    !late.is_empty()
}
