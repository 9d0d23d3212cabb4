//! A booking runs at most once when daemons, upstreams or the store fail.

use std::time::Duration;

use clock::Millis;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::json;
use standins::bookings::{RETENTION, fleet_with, new_key, runs_by_key};
use standins::client::Answer;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, book};
use uuid::Uuid;

fn check_runs(answer: &Answer, runs: usize) {
    match answer.body["ran"].as_str() {
        Some("no") => {}
        Some(_) => assert!(runs <= 1, "{answer:?}"),
        None => assert_eq!(runs, 1, "{answer:?}"),
    }
}

#[compio::test]
async fn daemons_that_race_on_a_key_run_it_once() {
    let fleet = fleet_with(5.0, RETENTION).await;
    let clients: Vec<_> = (0..3).map(|d| fleet.client(d)).collect();
    let race = json!("race");
    for _ in 0..40 {
        let key = new_key();
        let all = clients.iter().map(|c| book(c, "jobs", &key, &race));
        let answers = join_all(all).await;
        assert!(
            answers.iter().flatten().any(|a| a.status == 200),
            "{answers:?}"
        );
        let runs = runs_by_key(&fleet).await;
        assert_eq!(runs[&key], 1);
    }
}

#[compio::test]
async fn a_claim_whose_answer_is_lost_is_resolved_by_reading_back() {
    let fleet = fleet_with(5.0, RETENTION).await;
    fleet.set_store_faults(json!({ "lose_answers": 1 })).await;
    let key = new_key();
    let first = book(&fleet.client(0), "jobs", &key, &json!("lost"))
        .await
        .unwrap();
    fleet.set_store_faults(json!({})).await;
    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(runs_by_key(&fleet).await[&key], 1);
}

/// Kills the root daemon of a booking at different points in time and sends the
/// booking again through the other daemons.
#[rstest]
#[case::before_the_claim(0)]
#[case::while_the_claim_is_written(60)]
#[case::after_the_dispatch(250)]
fn a_killed_root_runs_a_booking_at_most_once(#[case] after_ms: u64) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut fleet = fleet_with(300.0, RETENTION).await;
        fleet.set_store_faults(json!({ "delay_ms": 100 })).await;
        let key = new_key();
        let client = fleet.client(0);
        let sent_key = key.clone();
        let first = compio::runtime::spawn(async move {
            book(&client, "jobs", &sent_key, &json!("killed")).await
        });
        compio::time::sleep(Duration::from_millis(after_ms)).await;
        fleet.daemons[0].process.kill();
        let _ = first.await;
        let mut answers = Vec::new();
        for attempt in 0..4 {
            let daemon = 1 + attempt % 2;
            answers.push(
                book(&fleet.client(daemon), "jobs", &key, &json!("killed"))
                    .await
                    .unwrap(),
            );
        }
        compio::time::sleep(Duration::from_millis(800)).await;
        let runs = runs_by_key(&fleet).await.get(&key).copied().unwrap_or(0);
        println!(
            "killed after {after_ms} ms: {runs} runs, last answer {}",
            answers[3].body
        );
        assert!(runs <= 1, "{runs} runs: {answers:?}");
        answers.iter().for_each(|a| check_runs(a, runs));
    });
}

/// Freezes the root daemon 0 to 165 ms after a booking is sent, so also between
/// claim and dispatch, while the caller sends the booking through another
/// daemon, then resumes it.
#[compio::test]
async fn a_frozen_root_runs_a_booking_at_most_once() {
    let fleet = fleet_with(20.0, RETENTION).await;
    fleet.set_store_faults(json!({ "delay_ms": 60 })).await;
    let mut unknown = 0;
    for step in 0..12 {
        let key = new_key();
        let client = fleet.client(0);
        let sent_key = key.clone();
        let first = compio::runtime::spawn(async move {
            book(&client, "jobs", &sent_key, &json!("frozen")).await
        });
        compio::time::sleep(Duration::from_millis(step * 15)).await;
        fleet.daemons[0].process.freeze();
        let elsewhere = book(&fleet.client(1), "jobs", &key, &json!("frozen"))
            .await
            .unwrap();
        compio::time::sleep(Duration::from_millis(150)).await;
        fleet.daemons[0].process.resume();
        let first = first.await.unwrap();
        compio::time::sleep(Duration::from_millis(100)).await;
        let runs = runs_by_key(&fleet).await.get(&key).copied().unwrap_or(0);
        assert!(runs <= 1, "{runs} runs: {elsewhere:?} {first:?}");
        check_runs(&elsewhere, runs);
        unknown += usize::from(elsewhere.body["ran"] == "unknown");
    }
    println!("{unknown} of 12 bookings sent again were answered with an unknown outcome");
}

/// An upstream is killed while it runs a booking: the outcome is unknown, and
/// the booking is not sent to another replica.
#[compio::test]
async fn a_booking_that_may_have_run_is_not_dispatched_again() {
    let mut fleet = fleet_with(400.0, RETENTION).await;
    let key = new_key();
    let client = fleet.client(0);
    let sent_key = key.clone();
    let first =
        compio::runtime::spawn(
            async move { book(&client, "jobs", &sent_key, &json!("died")).await },
        );
    compio::time::sleep(Duration::from_millis(200)).await;
    let mut running_on = None;
    for name in ["jobs-1", "jobs-2", "jobs-3"] {
        if fleet
            .executions(name)
            .await
            .iter()
            .any(|e| e["key"] == key.as_str())
        {
            running_on = Some(name);
        }
    }
    fleet
        .upstream_process(running_on.expect("the booking runs"))
        .kill();
    let first = first.await.unwrap().unwrap();
    assert_eq!(first.body["ran"], "unknown", "{first:?}");
    let again = book(&fleet.client(1), "jobs", &key, &json!("died"))
        .await
        .unwrap();
    assert_eq!(again.body["ran"], "unknown", "{again:?}");
    let other_runs = runs_by_key(&fleet).await.get(&key).copied().unwrap_or(0);
    assert_eq!(other_runs, 0, "another replica ran the booking");
}

/// Group commit bounds the ledger's writes by time, whatever the number of
/// bookings.
#[compio::test]
async fn ledger_writes_do_not_grow_with_bookings() {
    let mut service = ServicePlan::new("jobs", 6);
    service.behaviour.service_ms = 1.0;
    service.behaviour.slots = 50;
    service.service.slots = 50;
    service.service.connections = 200;
    let fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
    let clients: Vec<_> = (0..3).map(|d| fleet.client(d)).collect();
    let before = fleet.store_stats().await["swaps"].as_u64().unwrap();
    let started = Millis::now();
    let mut booked = 0;
    while Millis::now() - started < Millis(3_000) {
        let all = (0..120).map(async |n: usize| {
            let answer = book(
                &clients[n % 3],
                "jobs",
                &Uuid::now_v7().to_string(),
                &json!(n),
            )
            .await;
            usize::from(answer.is_ok_and(|a| a.status == 200))
        });
        booked += join_all(all).await.into_iter().sum::<usize>();
    }
    let seconds = (Millis::now() - started).0 as f64 / 1_000.0;
    let writes = fleet.store_stats().await["swaps"].as_u64().unwrap() - before;
    let (bookings, writes) = (booked as f64 / seconds, writes as f64 / seconds);
    println!("{bookings:.0} bookings a second with {writes:.0} ledger writes a second");
    assert!(
        writes <= 400.0,
        "{writes} ledger writes a second; the store takes several hundred"
    );
    assert!(
        bookings > writes,
        "{bookings} bookings a second took {writes} writes a second"
    );
}
