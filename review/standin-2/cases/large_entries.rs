//! Another writer puts entries of the largest size under `servers/`. One second later a new
//! version of the configuration moves a route to another service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::End;
use crate::store::Store;
use crate::world::{Action, Backend, Call, Folder, Gateway, Record, Route, put_config, sleep_ms};

const BEFORE: &str = "kafi81c";
const AFTER: &str = "lohu93e";
const BACKENDS: usize = 8;
/// `value-bytes` of the small site.
const VALUE_BYTES: usize = 1_048_576;
const ENTRIES: usize = 13;
/// `config-propagation-ms`.
const PROPAGATION_S: f64 = 3.0;
const INTERVAL_MS: u64 = 22;

pub fn run(record: &Record, trouble: bool) -> End {
    let folder = Folder::create();
    let store = Store::start(500);
    let start = |service: &str, n: usize| {
        let zone = ["bne", "tsv", "cns", "rok"][n % 4];
        let (id, body) = (format!("i-{service}-{n}"), service.as_bytes().to_vec());
        Backend::start(record, &store, &id, service, zone, move |_, _| {
            Action::Serve(30, body.clone())
        })
    };
    let before: Vec<Backend> = (0..BACKENDS).map(|n| start(BEFORE, n)).collect();
    let after: Vec<Backend> = (0..BACKENDS).map(|n| start(AFTER, n)).collect();
    put_config(&store, record, 7, &[route(BEFORE)]);
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
    let bytes = if trouble { VALUE_BYTES } else { 16 };
    for n in 0..ENTRIES {
        store.put(&format!("servers/x-{n:02}"), &vec![b'?'; bytes]);
    }
    record.write(&format!(
        "another writer has written {ENTRIES} entries of {bytes} bytes"
    ));
    sleep_ms(1_000);
    put_config(&store, record, 8, &[route(AFTER)]);
    let acknowledged = record.seconds();
    sleep_ms(10_000);
    is_over.store(true, Ordering::Relaxed);
    let Ok(sent) = load.join() else {
        return End::NotRun;
    };
    let count = |backends: &[Backend], from: f64| {
        let late = sent.iter().filter(|(_, at)| *at > from);
        late.filter(|(id, _)| backends.iter().any(|b| b.runs(id) > 0))
            .count()
    };
    let due = acknowledged + PROPAGATION_S;
    let (old, new) = (count(&before, due), count(&after, due));
    for gateway in gateways.iter() {
        for line in gateway.log_lines("store unreachable") {
            record.write(&format!("log of {}: {line}", gateway.name));
        }
    }
    record.write(&format!(
        "of the requests sent later than {PROPAGATION_S} s after version 8 was acknowledged, {old} were run by \
         {BEFORE}, which only version 7 allows, and {new} by {AFTER}"
    ));
    if old + new == 0 {
        return End::NotRun;
    }
    End::of(old > 0)
}

fn route(service: &str) -> Route<'_> {
    Route {
        name: "r-ibw6kpq",
        prefix: "/goka902/",
        kind: "safe",
        timeout_ms: 4_000,
        objective_ms: 400,
        attempts: 2,
        service,
    }
}

/// Sends requests until told to stop; returns them with the time at which each was sent.
fn send_until(
    is_over: &AtomicBool,
    record: &Record,
    gateways: &Arc<Vec<Gateway>>,
) -> Vec<(String, f64)> {
    let mut calls = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let n = calls.len();
        let (record, gateways) = (record.clone(), gateways.clone());
        calls.push(thread::spawn(move || {
            let (id, at) = (format!("{n:016x}"), record.seconds());
            let call = Call {
                method: "GET",
                path: "/goka902/2f",
                id: &id,
                deadline_ms: 4_000,
                body: b"",
            };
            call.send(&record, &gateways[n % gateways.len()]);
            (id, at)
        }));
        sleep_ms(INTERVAL_MS);
    }
    calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect()
}
