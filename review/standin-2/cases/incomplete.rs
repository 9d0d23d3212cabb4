//! Another writer overwrites the entry of a backend with one that lacks fields and names
//! another service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::End;
use crate::store::Store;
use crate::world::{Action, Backend, Call, Folder, Gateway, Record, Route, put_config, sleep_ms};

/// The service of the route, and another one of the site.
const ROUTED: &str = "kafi81c";
const OTHER: &str = "lohu93e";
const BACKENDS: usize = 8;
const WORK_MS: u64 = 90;
const INTERVAL_MS: u64 = 22;
const DEADLINE_MS: u64 = 4_000;
/// The other writer writes so often, at this interval.
const WRITES: usize = 6;
const WRITE_INTERVAL_MS: u64 = 1_000;

pub fn run(record: &Record, trouble: bool) -> End {
    let folder = Folder::create();
    let store = Store::start(500);
    let start = |service: &str, n: usize| {
        let zone = ["bne", "tsv", "cns", "rok"][n % 4];
        let (id, body) = (format!("i-{service}-{n}"), service.as_bytes().to_vec());
        Backend::start(record, &store, &id, service, zone, move |_, _| {
            Action::Serve(WORK_MS, body.clone())
        })
    };
    let routed: Vec<Backend> = (0..BACKENDS).map(|n| start(ROUTED, n)).collect();
    let other: Vec<Backend> = (0..BACKENDS).map(|n| start(OTHER, n)).collect();
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "unsafe",
        timeout_ms: DEADLINE_MS,
        objective_ms: 400,
        attempts: 2,
        service,
    };
    let routes = [
        route("r-ibw6kpq", "/goka902/", ROUTED),
        route("r-2cdm0xa", "/jeti422/", OTHER),
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
        thread::spawn(move || send_until(&is_over, &record, &gateways))
    };
    sleep_ms(2_000);
    for _ in 0..WRITES {
        if trouble {
            for backend in &other[..3] {
                write_incomplete(&store, record, backend);
            }
        }
        sleep_ms(WRITE_INTERVAL_MS);
    }
    sleep_ms(2_000);
    is_over.store(true, Ordering::Relaxed);
    let Ok(sent) = load.join() else {
        return End::NotRun;
    };
    let is_run_by = |backends: &[Backend], id: &str| backends.iter().any(|b| b.runs(id) > 0);
    let wrong: Vec<&(String, String)> = sent
        .iter()
        .filter(|(id, _)| is_run_by(&other, id))
        .collect();
    for (id, answer) in &wrong {
        record.write(&format!(
            "ROUTE: {id} was run by {OTHER}; its client got `{answer}`"
        ));
    }
    let right = sent.iter().filter(|(id, _)| is_run_by(&routed, id)).count();
    let foreign = wrong
        .iter()
        .filter(|(_, answer)| answer.ends_with(OTHER))
        .count();
    record.write(&format!(
        "of {} requests on a route to {ROUTED}, {right} were run by it and {} by {OTHER}, to which the route \
         never led; {foreign} clients got that service's answer as a success",
        sent.len(),
        wrong.len()
    ));
    if right == 0 {
        return End::NotRun;
    }
    End::of(!wrong.is_empty())
}

/// Writes an entry under the backend's key without `version` and `born`.
fn write_incomplete(store: &Store, record: &Record, backend: &Backend) {
    let entry = format!(
        "{{\"service\":\"{ROUTED}\",\"address\":\"{}\",\"zone\":\"{}\",\"capacity-slots\":2,\
         \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq\":1}}",
        backend.address, backend.zone
    );
    store.put(&format!("servers/{}", backend.id), entry.as_bytes());
    record.write(&format!(
        "another writer has written an entry without version and born for {}",
        backend.id
    ));
}

/// Sends requests until told to stop; returns them with their answers.
fn send_until(
    is_over: &AtomicBool,
    record: &Record,
    gateways: &Arc<Vec<Gateway>>,
) -> Vec<(String, String)> {
    let mut calls = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let n = calls.len();
        let (record, gateways) = (record.clone(), gateways.clone());
        calls.push(thread::spawn(move || {
            let id = format!("{n:016x}");
            let call = Call {
                method: "POST",
                path: "/goka902/2f",
                id: &id,
                deadline_ms: DEADLINE_MS,
                body: b"one order",
            };
            let answer = call.send(&record, &gateways[n % gateways.len()]);
            let text = |a: crate::http::Response| {
                format!("{} {}", a.status, String::from_utf8_lossy(&a.body))
            };
            (id, answer.map_or_else(|| "nothing".to_owned(), text))
        }));
        sleep_ms(INTERVAL_MS);
    }
    calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect()
}
