//! A committed configuration is in force on every daemon within 5 s and never
//! reverts.

use std::time::Duration;

use catalog::Declarations;
use clock::Millis;
use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::client::JsonClient;
use standins::fleet::{Binaries, Fleet, Plan, search, wait_until};

const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);

fn with_deadline(declared: &Declarations, ms: u64) -> Declarations {
    let mut declared = declared.clone();
    declared.services[0].deadline_ms = Millis(ms);
    declared
}

async fn revision(fleet: &Fleet, daemon: usize) -> u64 {
    fleet.dump(daemon).await["revision"].as_u64().unwrap_or(0)
}

async fn wait_for_revision(fleet: &Fleet, daemons: &[usize], expected: u64) {
    wait_until(
        "the revision is in force everywhere",
        PROPAGATION_LIMIT,
        async || {
            let all = join_all(daemons.iter().map(|&d| revision(fleet, d))).await;
            all.iter().all(|r| *r >= expected)
        },
    )
    .await;
}

#[compio::test]
async fn one_of_two_racing_applies_commits_and_the_other_reports_the_difference() {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let path = |name: &str, ms: u64| {
        let file = fleet.dir.join(name);
        std::fs::write(
            &file,
            catalog::render(&with_deadline(&fleet.declarations, ms)),
        )
        .unwrap();
        file.display().to_string()
    };
    let (a, b) = (path("a.yaml", 1_100), path("b.yaml", 1_200));
    let addresses: Vec<String> = fleet.daemons.iter().map(|d| d.peers.to_string()).collect();
    let first = [
        "apply",
        "--output",
        "json",
        "--daemon",
        &addresses[0],
        "--base",
        "1",
        "--file",
        &a,
    ];
    let second = [
        "apply",
        "--output",
        "json",
        "--daemon",
        &addresses[1],
        "--base",
        "1",
        "--file",
        &b,
    ];
    let replies = join_all([fleet.run(&first), fleet.run(&second)]).await;
    let count = |outcome: &str| replies.iter().filter(|r| r["outcome"] == outcome).count();
    assert_eq!(
        (count("committed"), count("conflict")),
        (1, 1),
        "{replies:?}"
    );
    let refused = replies.iter().find(|r| r["outcome"] == "conflict").unwrap();
    assert!(
        refused["changes"][0]
            .as_str()
            .unwrap()
            .contains("deadline 1000 ms ->"),
        "{refused}"
    );
    wait_for_revision(&fleet, &[0, 1, 2], 2).await;
}

#[compio::test]
async fn a_commit_whose_answer_is_lost_is_made_once_and_reported() {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    // The first write stores the service, the second the head.
    fleet.set_store_faults(json!({ "lose_answers": 2 })).await;
    let changed = with_deadline(&fleet.declarations, 1_300);
    let first = fleet.apply(0, &changed, "lost").await;
    fleet.set_store_faults(json!({})).await;
    let again = fleet.apply(1, &changed, "lost").await;
    println!("first {first}, again {again}");
    assert!(
        again["outcome"] == "committed" || again["outcome"] == "unchanged",
        "{again}"
    );
    wait_for_revision(&fleet, &[0, 1, 2], 2).await;
    let history = fleet
        .run(&[
            "history",
            "--output",
            "json",
            "--daemon",
            &fleet.daemons[2].peers.to_string(),
        ])
        .await;
    let commits = history
        .as_array()
        .unwrap()
        .iter()
        .filter(|e| e["operation"] == "lost")
        .count();
    assert_eq!(commits, 1, "{history}");
}

#[compio::test]
async fn a_store_outage_loses_and_reverts_nothing() {
    let mut fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    let reply = fleet
        .apply(0, &with_deadline(&fleet.declarations, 1_400), "before")
        .await;
    assert_eq!(reply["outcome"], "committed", "{reply}");
    wait_for_revision(&fleet, &[0, 1, 2], 2).await;
    fleet.set_store_faults(json!({ "down": true })).await;
    let refused = fleet
        .apply(0, &with_deadline(&fleet.declarations, 1_500), "during")
        .await;
    assert_ne!(refused["outcome"], "committed", "{refused}");
    // A restarted daemon gets the revision from its peers.
    fleet.daemons[1].process.kill();
    fleet.restart_daemon(1).await;
    wait_for_revision(&fleet, &[1], 2).await;
    compio::time::sleep(Duration::from_secs(4)).await;
    for daemon in 0..3 {
        let answer = search(&fleet.client(daemon), "jobs", &json!("x"))
            .await
            .unwrap();
        assert_eq!(answer.body["revision"], 2, "{answer:?}");
    }
    fleet.set_store_faults(json!({ "delay_ms": 300 })).await;
    let reply = fleet
        .apply(2, &with_deadline(&fleet.declarations, 1_600), "after")
        .await;
    assert_eq!(reply["outcome"], "committed", "{reply}");
    wait_for_revision(&fleet, &[0, 1, 2], 3).await;
}

/// A daemon that was frozen during a change serves no request at the old
/// revision after it resumes, not even one that was waiting in its socket.
#[compio::test]
async fn a_resumed_daemon_confirms_its_revision_before_it_serves() {
    let fleet = Fleet::ready(&Binaries::find(), Plan::default()).await;
    fleet.daemons[2].process.freeze();
    compio::time::sleep(Duration::from_millis(3_500)).await;
    let reply = fleet
        .apply(0, &with_deadline(&fleet.declarations, 1_700), "frozen")
        .await;
    assert_eq!(reply["outcome"], "committed", "{reply}");
    wait_for_revision(&fleet, &[0, 1], 2).await;
    let waiting: Vec<_> = (0..20)
        .map(|_| {
            let client: JsonClient = fleet.client(2);
            compio::runtime::spawn(async move { search(&client, "jobs", &json!("x")).await })
        })
        .collect();
    compio::time::sleep(Duration::from_millis(200)).await;
    fleet.daemons[2].process.resume();
    let answers = join_all(waiting).await;
    for answer in answers.into_iter().map(|a| a.unwrap().unwrap()) {
        let is_current = answer.body["revision"].as_u64().is_some_and(|r| r >= 2);
        assert!(is_current || answer.body["ran"] == "no", "{answer:?}");
    }
    wait_for_revision(&fleet, &[2], 2).await;
}

#[compio::test]
async fn a_daemon_without_a_store_is_not_ready_and_logs_why() {
    let fleet = Fleet::start(
        &Binaries::find(),
        Plan {
            daemons: 1,
            ..Plan::default()
        },
    )
    .await;
    fleet.set_store_faults(json!({ "down": true })).await;
    compio::time::sleep(Duration::from_millis(500)).await;
    let readiness = fleet.client(0).get("/readyz").await.unwrap();
    assert_eq!(readiness.status, 503);
    let answer = search(&fleet.client(0), "jobs", &json!("x")).await.unwrap();
    assert_eq!(answer.body["title"], "unready", "{answer:?}");
    assert_eq!(answer.body["ran"], "no", "{answer:?}");
    assert!(
        fleet.daemons[0]
            .process
            .read_log()
            .contains("store not read")
    );
    fleet.set_store_faults(json!({})).await;
    let reply: Value = fleet.apply(0, &fleet.declarations, "late").await;
    assert_eq!(reply["outcome"], "committed", "{reply}");
    fleet.wait_until_ready().await;
}
