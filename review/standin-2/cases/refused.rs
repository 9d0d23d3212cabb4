//! One of eight backends fails some of its requests for 6.5 s: it begins to work on them and
//! then answers 503 without `Not-Executed`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::End;
use crate::store::Store;
use crate::world::{Action, Backend, Call, Folder, Gateway, Record, Route, put_config, sleep_ms};

const SERVICE: &str = "kafi81c";
/// As `field-tablet` of the small site.
const BACKENDS: usize = 8;
/// `srv_grey` has share 0.14 and x 0.45 in the site file, for 6.5 s.
const FAILING_PERCENT: usize = 40;
const GREY_MS: u64 = 6_500;
const WORK_MS: u64 = 90;
/// `invoice-fetch`: 44.9 a second, deadline 4,000 ms.
const INTERVAL_MS: u64 = 22;
const DEADLINE_MS: u64 = 4_000;
const STATUS: u16 = 503;
/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

pub fn run(record: &Record, trouble: bool) -> End {
    let folder = Folder::create();
    let store = Store::start(500);
    // Number of the backend that is grey.
    let grey = Arc::new(AtomicUsize::new(usize::MAX));
    let start = |n: usize| {
        let (grey, count) = (grey.clone(), AtomicUsize::new(0));
        let zone = ["bne", "tsv", "cns", "rok"][n % 4];
        Backend::start(
            record,
            &store,
            &format!("i-{n:02}"),
            SERVICE,
            zone,
            move |_, _| {
                let is_grey = n == grey.load(Ordering::Relaxed);
                // Of the requests since it is grey, the first and in all 40 of 100 fail.
                let is_failing = is_grey
                    && count.fetch_add(1, Ordering::Relaxed) * FAILING_PERCENT % 100
                        < FAILING_PERCENT;
                match is_failing {
                    true => Action::Fail(WORK_MS, STATUS),
                    false => Action::Serve(WORK_MS, b"booked".to_vec()),
                }
            },
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
    sleep_ms(2_000);
    let seconds = |ms: u64| (ms / INTERVAL_MS) as usize;
    let (from, to) = (seconds(2_000), seconds(2_000 + GREY_MS));
    let mut calls = Vec::new();
    for n in 0..seconds(4_000 + GREY_MS) {
        if trouble && n == from {
            // Daemons prefer some backends; the one that is most in use fails.
            let most = (0..BACKENDS).max_by_key(|b| backends[*b].run_times().len());
            grey.store(most.unwrap_or(0), Ordering::Relaxed);
            record.write(&format!(
                "backend {} of {BACKENDS} is grey",
                backends[most.unwrap_or(0)].id
            ));
        }
        if n == to {
            grey.store(usize::MAX, Ordering::Relaxed);
        }
        let (record, gateways) = (record.clone(), gateways.clone());
        calls.push(thread::spawn(move || order(&record, &gateways, n)));
        sleep_ms(INTERVAL_MS);
    }
    let mut sent: Vec<Vec<(String, u16)>> = Vec::new();
    for call in calls {
        sent.extend(call.join().ok());
    }
    let runs = |id: &str| backends.iter().map(|b| b.runs(id)).sum::<usize>();
    let (mut answered, mut broken, mut doubled) = (0, 0, 0);
    for attempts in &sent {
        answered += attempts.iter().filter(|(_, status)| *status == 200).count();
        for (id, status) in attempts {
            if PROMISES.contains(status) && runs(id) > 0 {
                broken += 1;
                record.write(&format!("REFUSED: {id} was answered {status} and has run"));
            }
        }
        doubled += usize::from(attempts.iter().map(|(id, _)| runs(id)).sum::<usize>() > 1);
    }
    record.write(&format!(
        "{} orders, {answered} answered with 200; {broken} requests were answered as not run and had \
         run; {doubled} orders ran more than once, as their clients came again after that",
        sent.len()
    ));
    if answered == 0 {
        return End::NotRun;
    }
    End::of(broken > 0)
}

/// Sends an order, and once more, as another request, after an answer that promises that
/// it has not run. Returns the requests with their answers, 0 for none.
fn order(record: &Record, gateways: &[Gateway], n: usize) -> Vec<(String, u16)> {
    let mut attempts = Vec::new();
    for attempt in 0..2 {
        let id = format!("{n:08x}{attempt:08x}");
        let call = Call {
            method: "POST",
            path: "/goka902/2f",
            id: &id,
            deadline_ms: DEADLINE_MS,
            body: b"one order",
        };
        let answer = call.send(record, &gateways[(n + attempt) % gateways.len()]);
        let status = answer.map_or(0, |a| a.status);
        attempts.push((id, status));
        if !PROMISES.contains(&status) {
            break;
        }
    }
    attempts
}
