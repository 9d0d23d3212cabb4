//! A daemon that gets more than one request to stop, or is frozen while it stops,
//! still answers the requests in flight.

use std::time::Duration;

use clock::Millis;
use futures_util::future::{join, join_all};
use serde_json::json;
use standins::client::Answer;
use standins::fleet::{Fleet, search};

#[path = "support/local_fleet.rs"]
mod local_fleet;

use local_fleet::{hang_upstreams, jobs_service, start_fleet};

const CALLERS: usize = 60;
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts two daemons with upstreams that take `service_ms` for each request.
async fn start(service_ms: f64, grace_ms: u64, drain_ms: u64) -> Fleet {
    let mut service = jobs_service(Millis(5_000));
    service.behaviour.service_ms = service_ms;
    start_fleet(service, Millis(grace_ms), Millis(drain_ms)).await
}

/// Sends searches, each on a connection of its own, and returns their answers.
async fn search_all(fleet: &Fleet, count: usize) -> Vec<Option<Answer>> {
    let clients: Vec<_> = (0..count).map(|_| fleet.client(0)).collect();
    let searches = clients.iter().map(async |client| {
        let answer = search(client, "jobs", &json!("x")).await;
        answer.ok()
    });
    join_all(searches).await
}

#[compio::test]
async fn a_stop_signal_after_an_operators_request_cuts_no_request() {
    let fleet = start(800.0, 300, 5_000).await;
    let peer = fleet.daemons[1].peers.to_string();
    let leave = [
        "drain",
        "--daemon",
        &peer,
        "--output",
        "json",
        "--instance",
        "entry-1",
    ];
    let stop = async {
        compio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!(fleet.run(&leave).await["accepted"], true);
        fleet.daemons[0].process.terminate();
    };
    let (answers, ()) = join(search_all(&fleet, 1), stop).await;
    let answer = answers[0].as_ref().expect("the search is answered");
    assert_eq!(answer.body["complete"], true, "{answer:?}");
}

#[compio::test]
async fn requests_that_a_second_signal_cuts_are_answered() {
    let mut fleet = start(5.0, 10_000, 10_000).await;
    hang_upstreams(&fleet).await;
    let stop = async {
        for _ in 0..2 {
            compio::time::sleep(Duration::from_millis(300)).await;
            fleet.daemons[0].process.terminate();
        }
    };
    let (answers, ()) = join(search_all(&fleet, CALLERS), stop).await;
    let lost = answers.iter().filter(|a| a.is_none()).count();
    assert_eq!(lost, 0, "of {CALLERS}");
    assert!(answers.iter().flatten().all(|a| a.status == 503));
    assert_eq!(fleet.daemons[0].process.wait(EXIT_TIMEOUT).await, Some(0));
}

#[compio::test]
async fn requests_that_a_frozen_daemon_cuts_late_are_answered() {
    let mut fleet = start(5.0, 200, 800).await;
    hang_upstreams(&fleet).await;
    let stop = async {
        let process = &fleet.daemons[0].process;
        compio::time::sleep(Duration::from_millis(300)).await;
        process.terminate();
        compio::time::sleep(Duration::from_millis(700)).await;
        process.freeze();
        compio::time::sleep(Duration::from_millis(1_500)).await;
        process.resume();
    };
    let (answers, ()) = join(search_all(&fleet, CALLERS), stop).await;
    let lost = answers.iter().filter(|a| a.is_none()).count();
    assert_eq!(lost, 0, "of {CALLERS}");
    assert_eq!(fleet.daemons[0].process.wait(EXIT_TIMEOUT).await, Some(0));
}
