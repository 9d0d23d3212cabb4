//! A gateway whose links to the servers are cut hands its requests to other gateways, which do
//! not all have the same version of the configuration in force.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::base::*;
use crate::link::Links;

const HOST: &str = "search.example";
/// Each version sends the route to a service of its own, so that a run shows the version.
const VERSIONS: [u64; 5] = [7, 9, 12, 13, 17];
const SERVERS: usize = 2;
const HEARTBEAT_MS: u64 = 1_200;
/// Machines are restarted and added one after the other, so that they do not read the store in
/// step.
const START_GAP_MS: u64 = 160;
const WORK_MS: u64 = 5;
const CLIENTS: usize = 4;
const ROLLBACK_SLACK_MS: u64 = 250;
const CHANGE_GAP_MS: u64 = 1_900;

struct Run {
    id: String,
    version: usize,
    at: u64,
}

#[derive(Default)]
struct Seen {
    runs: Mutex<Vec<Run>>,
    /// When each request was sent, and the gateway that it was sent to.
    sent: Mutex<HashMap<String, (u64, String)>>,
}

fn configuration(n: usize) -> String {
    let services: Vec<String> = (0..VERSIONS.len())
        .map(|s| {
            format!(
                "{{\"name\":\"s{s}\",\"health-check-path\":\"/health\",\"max-connections\":41,\
                 \"protocol\":\"h1\",\"transport-security\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{},\"routes\":[{{\"name\":\"r-read\",\"host\":\"{HOST}\",\"prefix\":\"/read/\",\
         \"route-kind\":\"safe\",\"timeout-ms\":2000,\"target-latency-ms\":400,\"priority\":2,\
         \"service\":\"s{n}\",\"max-attempts\":2}}],\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        VERSIONS[n],
        services.join(",")
    )
}

fn client(gateway: &Gateway, number: usize, seen: &Seen, record: &Record, stop: &AtomicBool) {
    let mut kept = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{}-{number}-{count}", gateway.name);
        let path = format!("/read/{id}");
        let ask_it = Ask { method: "GET", host: HOST, path: &path, id: &id, deadline_ms: 2_000, body: b"" };
        seen.sent.lock().unwrap().insert(id.clone(), (record.ms(), gateway.name.clone()));
        record.line(&format!("client sends {id}"));
        let status = ask(gateway.front, &mut kept, &ask_it).map_or(0, |a| a.status());
        record.line(&format!("client gets {status} for {id}"));
        sleep_ms(25);
    }
}

/// Writes the servers' entries again each heartbeat, spread over its length.
fn beat(store: &Store, entries: &[(String, String)]) {
    for seq in 1.. {
        for (key, entry) in entries {
            store.put(key, entry.replace("SEQ", &seq.to_string()).as_bytes(), 0);
            sleep_ms(if seq == 1 { 0 } else { HEARTBEAT_MS / entries.len() as u64 });
        }
    }
}

pub fn run(record: &str, dir: &str) -> bool {
    let record = Record::create(record);
    let store = Store::new();
    let seen = Arc::new(Seen::default());
    let links = Links::new();
    let mut view = View::default();
    let mut entries = Vec::new();
    for version in 0..VERSIONS.len() {
        for server in 0..SERVERS {
            let (listener, address) = listen();
            view.addresses.insert(address.to_string(), links.add(address).to_string());
            let id = format!("i-{version:02}{server:02}");
            let entry = format!(
                "{{\"service\":\"s{version}\",\"address\":\"{address}\",\"zone\":\"z{}\",\"version\":\"v1\",\
                 \"capacity-slots\":5,\"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":SEQ,\"born\":1700000000000}}",
                server + 1
            );
            entries.push((format!("servers/{id}"), entry));
            let (seen, record) = (seen.clone(), record.clone());
            serve(listener, move |stream| {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.read() {
                    let of = request.header("request-id").unwrap_or_default().to_owned();
                    if request.header("expect-instance") != Some(id.as_str()) {
                        let headers = [("Request-Id", of.as_str()), ("Instance-Id", &id)];
                        let _ = conn.write(&response("421 Misdirected Request", &headers, b""));
                        continue;
                    }
                    let at = record.ms();
                    record.line(&format!("server {id} of s{version} (version {}) runs {of}", VERSIONS[version]));
                    seen.runs.lock().unwrap().push(Run { id: of.clone(), version, at });
                    sleep_ms(WORK_MS);
                    let stamp = format!("{id}.{of}");
                    let headers = [("Request-Id", of.as_str()), ("Server-Stamp", &stamp), ("Server-Load", "1,0,5")];
                    if conn.write(&response("200 OK", &headers, stamp.as_bytes())).is_err() {
                        return;
                    }
                }
            });
        }
    }
    let beating = store.clone();
    thread::spawn(move || beat(&beating, &entries));
    store.put("op/config", configuration(0).as_bytes(), 0);
    let (far, near) = (store.serve(Arc::new(view)), store.serve(Arc::default()));
    let plans = [("g1", "z1", far), ("g2", "z2", near), ("g3", "z3", near), ("g4", "z1", near), ("g5", "z2", near)];
    let plans = plans.map(|(name, zone, store)| Plan { name, zone, store });
    let gateways = plan_gateways(dir, &plans);
    for gateway in &gateways {
        gateway.start();
        sleep_ms(START_GAP_MS);
    }
    gateways.iter().for_each(|g| g.wait_ready());
    sleep_ms(4_500);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for gateway in &gateways {
        for number in 0..CLIENTS {
            let (gateway, seen, record, stop) = (gateway.clone(), seen.clone(), record.clone(), stop.clone());
            clients.push(thread::spawn(move || client(&gateway, number, &seen, &record, &stop)));
        }
    }
    sleep_ms(3_000);
    if has_trouble() {
        record.line("the links between g1 and the servers are cut");
        links.cut();
    }
    sleep_ms(2_000);
    for (n, number) in VERSIONS.iter().enumerate().skip(1) {
        store.put("op/config", configuration(n).as_bytes(), 0);
        record.line(&format!("version {number} is acknowledged"));
        sleep_ms(CHANGE_GAP_MS);
    }
    links.heal();
    record.line("the links are back");
    sleep_ms(4_000);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    gateways.iter().for_each(|g| g.kill());
    judge(&seen, &record)
}

/// Looks for requests that were sent to a machine later than the slack after a server saw, by a
/// request of that machine's clients, a version that is newer than the one they were handled by.
fn judge(seen: &Seen, record: &Record) -> bool {
    let sent = seen.sent.lock().unwrap();
    let runs = seen.runs.lock().unwrap();
    let mut broken: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter() {
        let (at, machine) = &sent[&run.id];
        let newer = runs.iter().find(|r| {
            r.version > run.version && sent[&r.id].1 == *machine && r.at + ROLLBACK_SLACK_MS < *at
        });
        if let Some(newer) = newer {
            let count = broken.entry(machine).or_default();
            *count += 1;
            if *count <= 20 {
                record.say(&format!(
                    "CONFIG: {machine} had {} handled by version {} at {} ms; {} was sent to it {} ms later and handled by version {}",
                    newer.id, VERSIONS[newer.version], newer.at, run.id, at - newer.at, VERSIONS[run.version]
                ));
            }
        }
    }
    record.say(&format!("{} runs; requests handled by an older version, by machine: {broken:?}", runs.len()));
    if runs.len() < 500 {
        cannot_run("hardly any request was served");
    }
    !broken.is_empty()
}
