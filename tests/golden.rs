//! Snapshots of whole answers and command outputs, with identifiers and times
//! redacted.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::client::Answer;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, book, search};
use uuid::Uuid;

/// The answer as the caller gets it, without the values that differ from run to
/// run.
fn seen(answer: &Answer) -> Value {
    let mut body = answer.body.clone();
    redact(&mut body);
    json!({ "status": answer.status.as_u16(), "retry_after": answer.retry_after, "body": body })
}

fn redact(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                match name.as_str() {
                    "request_id" | "key" | "operation" | "upstream" => {
                        *field = json!(format!("[{name}]"))
                    }
                    "retry_after_ms" | "committed_ms" | "age_ms" => {
                        *field = json!(format!("[{name}]"))
                    }
                    _ => redact(field),
                }
            }
        }
        Value::Array(list) => list.iter_mut().for_each(redact),
        _ => {}
    }
}

async fn search_open(fleet: &Fleet) -> Answer {
    let client = fleet.client(0);
    search(&client, "jobs", &json!("open")).await.unwrap()
}

async fn fleet() -> Fleet {
    Fleet::ready(&Binaries::find(), Plan::default()).await
}

#[compio::test]
async fn complete_search() {
    let fleet = fleet().await;
    let answer = search_open(&fleet).await;
    insta::assert_json_snapshot!(seen(&answer));
}

#[compio::test]
async fn partial_search() {
    let mut fleet = fleet().await;
    fleet.upstream_process("jobs-1").kill();
    fleet.upstream_process("jobs-2").kill();
    compio::time::sleep(Duration::from_millis(500)).await;
    let answer = search_open(&fleet).await;
    insta::assert_json_snapshot!(seen(&answer));
}

#[compio::test]
async fn refusal() {
    let mut service = ServicePlan::new("jobs", 3);
    service.service.coverage_percent = 100;
    let mut fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
    for name in ["jobs-1", "jobs-2", "jobs-3"] {
        fleet.upstream_process(name).kill();
    }
    compio::time::sleep(Duration::from_millis(500)).await;
    let answer = search_open(&fleet).await;
    insta::assert_json_snapshot!(seen(&answer));
}

#[compio::test]
async fn booking_and_booking_sent_again() {
    let fleet = fleet().await;
    let key = Uuid::now_v7().to_string();
    let path = "/v1/services/jobs/book";
    let body = r#"{"booking":{"job":17},"shard":"s1"}"#;
    let mut answers = Vec::new();
    for daemon in [0, 1] {
        let headers = [("idempotency-key", key.as_str())];
        answers.push(seen(
            &fleet
                .client(daemon)
                .send("POST", path, &headers, body.into())
                .await
                .unwrap(),
        ));
    }
    insta::assert_json_snapshot!(answers);
}

#[compio::test]
async fn booking_without_the_store() {
    let fleet = fleet().await;
    fleet.set_store_faults(json!({ "down": true })).await;
    let key = Uuid::now_v7().to_string();
    let answer = book(&fleet.client(0), "jobs", &key, &json!({ "job": 17 }))
        .await
        .unwrap();
    insta::assert_json_snapshot!(seen(&answer));
}

#[compio::test]
async fn apply_and_history() {
    let fleet = fleet().await;
    let mut changed = fleet.declarations.clone();
    changed.services[0].deadline_ms = clock::Millis(1_250);
    changed.services[0].upstreams[0].drain = true;
    let mut replies = vec![fleet.apply(0, &changed, "second").await];
    replies.push(fleet.apply(1, &changed, "third").await);
    let address = fleet.daemons[0].peers.to_string();
    replies.push(
        fleet
            .run(&["history", "--output", "json", "--daemon", &address])
            .await,
    );
    replies.iter_mut().for_each(redact);
    insta::assert_json_snapshot!(replies);
}

#[compio::test]
async fn racing_applies() {
    let fleet = fleet().await;
    let address = fleet.daemons[0].peers.to_string();
    let mut files = Vec::new();
    for (name, ms) in [("a", 1_100), ("b", 1_200)] {
        let mut changed = fleet.declarations.clone();
        changed.services[0].deadline_ms = clock::Millis(ms);
        let file = fleet.dir.join(name);
        std::fs::write(&file, catalog::render(&changed)).unwrap();
        files.push(file.display().to_string());
    }
    // The applies run one after the other, both with revision 1 as the base:
    // which of two concurrent ones commits differs from run to run.
    let mut replies = Vec::new();
    for file in &files {
        let arguments = [
            "apply", "--output", "json", "--daemon", &address, "--base", "1", "--file", file,
        ];
        let mut reply = fleet.run(&arguments).await;
        redact(&mut reply);
        replies.push(reply);
    }
    insta::assert_json_snapshot!(replies);
}

#[compio::test]
async fn drain() {
    let fleet = fleet().await;
    let address = fleet.daemons[1].peers.to_string();
    let arguments = [
        "drain", "--output", "json", "--daemon", &address, "jobs", "jobs-1",
    ];
    let drained = fleet.run(&arguments).await;
    let unknown = fleet
        .run(&["drain", "--daemon", &address, "jobs", "jobs-9"])
        .await;
    let answers = join_all((0..3).map(async |d| {
        standins::fleet::wait_until(
            "the drain is in force",
            Duration::from_secs(5),
            async || fleet.dump(d).await["revision"] == 2,
        )
        .await;
        search(&fleet.client(d), "jobs", &json!("open"))
            .await
            .unwrap()
            .body["complete"]
            .clone()
    }))
    .await;
    let unknown = unknown
        .as_str()
        .unwrap_or_default()
        .replace(&address, "[address]");
    insta::assert_json_snapshot!(json!([drained, unknown, answers]));
}
