//! A backend leaves. Its entry in the store is overwritten by another writer, with a state that
//! the pages don't name.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::End;
use crate::store::Store;
use crate::world::{Action, Backend, Call, Folder, Gateway, Record, Route, put_config, sleep_ms};

const SERVICE: &str = "kafi81c";
/// As `field-tablet` of the small site.
const BACKENDS: usize = 8;
/// `scale_in` has share 0.15.
const LEAVING: usize = 1;
const WORK_MS: u64 = 90;
const INTERVAL_MS: u64 = 22;
const DEADLINE_MS: u64 = 4_000;
/// `drain-ms` of the small site.
const DRAIN_S: f64 = 3.0;
/// The backend goes on serving for `drain-ms` and a little longer.
const SERVING_MS: u64 = 7_000;

pub fn run(record: &Record, trouble: bool) -> End {
    let folder = Folder::create();
    let store = Store::start(500);
    let start = |n: usize| {
        let zone = ["bne", "tsv", "cns", "rok"][n % 4];
        Backend::start(
            record,
            &store,
            &format!("i-{n:02}"),
            SERVICE,
            zone,
            |_, _| Action::Serve(WORK_MS, b"booked".to_vec()),
        )
    };
    let backends: Vec<Backend> = (0..BACKENDS).map(start).collect();
    let route = Route {
        name: "r-ibw6kpq",
        prefix: "/goka902/",
        kind: "unsafe",
        timeout_ms: DEADLINE_MS,
        objective_ms: 400,
        attempts: 2,
        service: SERVICE,
    };
    put_config(&store, record, 7, &[route]);
    let gateways = Arc::new(Gateway::start_all(record, &folder, &store, 3));
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(10)))
    {
        return End::NotRun;
    }
    sleep_ms(4_500);
    let (is_over, lost) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let load = {
        let (record, gateways) = (record.clone(), gateways.clone());
        let (is_over, lost) = (is_over.clone(), lost.clone());
        thread::spawn(move || send_until(&is_over, &lost, &record, &gateways))
    };
    sleep_ms(2_000);
    // Daemons prefer some backends; the one that is most in use leaves.
    let recent = |b: &&Backend| {
        let since = record.seconds() - 2.0;
        b.run_times().into_iter().filter(|at| *at > since).count()
    };
    let mut leaving: Vec<&Backend> = backends.iter().collect();
    leaving.sort_by_key(|b| std::cmp::Reverse(recent(b)));
    leaving.truncate(LEAVING);
    for backend in &leaving {
        match trouble {
            true => backend.overwrite("stopped"),
            false => backend.leave(),
        }
    }
    let gone_at = record.seconds();
    sleep_ms(SERVING_MS);
    leaving.iter().for_each(|backend| backend.end_process());
    sleep_ms(1_500);
    is_over.store(true, Ordering::Relaxed);
    let Ok(sent) = load.join() else {
        return End::NotRun;
    };
    let late = leaving.iter().flat_map(|backend| backend.run_times());
    let late: Vec<f64> = late.filter(|at| *at > gone_at + DRAIN_S).collect();
    let last = late.iter().copied().fold(gone_at, f64::max);
    record.write(&format!(
        "{sent} requests; {} began to run on the backend that left later than {DRAIN_S} s after the store had \
         acknowledged that no entry names it any more, the last {:.3} s after; {} got no answer of a backend",
        late.len(),
        last - gone_at,
        lost.load(Ordering::Relaxed)
    ));
    End::of(!late.is_empty())
}

/// Sends orders until told to stop; returns how many. Counts those that get no answer of a
/// backend, nor the promise that they have not run.
fn send_until(
    is_over: &AtomicBool,
    lost: &Arc<AtomicUsize>,
    record: &Record,
    gateways: &Arc<Vec<Gateway>>,
) -> usize {
    let mut calls = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let (n, lost) = (calls.len(), lost.clone());
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
            if !answer.is_some_and(|a| a.status == 200 || a.status == 503) {
                record.write(&format!("LOST: {id}"));
                lost.fetch_add(1, Ordering::Relaxed);
            }
        }));
        sleep_ms(INTERVAL_MS);
    }
    calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .count()
}
