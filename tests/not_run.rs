//! When a refusal says that a request was not run, no upstream recorded it.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use standins::client::Answer;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, book};
use uuid::Uuid;

const REQUESTS: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Overload,
    Shedding,
    Killed,
    StoreDown,
    SnapshotGone,
}

async fn cause(fleet: &mut Fleet, trouble: Trouble) {
    match trouble {
        Trouble::Overload => {}
        Trouble::Shedding => {
            for name in ["jobs-1", "jobs-2", "jobs-3"] {
                fleet.control(name, json!({ "mode": "shedding" })).await;
            }
        }
        Trouble::Killed => {
            fleet.upstream_process("jobs-1").kill();
            fleet.upstream_process("jobs-2").kill();
        }
        Trouble::StoreDown => fleet.set_store_faults(json!({ "down": true })).await,
        Trouble::SnapshotGone => {
            for name in ["jobs-1", "jobs-2", "jobs-3"] {
                fleet
                    .control(
                        name,
                        json!({ "holds": [{ "partitioning": "p1", "snapshot": 9 }] }),
                    )
                    .await;
            }
        }
    }
}

async fn send(fleet: &Fleet, number: usize, is_booking: bool) -> (String, Answer) {
    let text = format!("r-{number}-{is_booking}");
    let client = fleet.client(number % 3);
    let answer = match is_booking {
        true => book(&client, "jobs", &Uuid::now_v7().to_string(), &json!(text)).await,
        false => {
            let body = json!({ "query": text }).to_string();
            client
                .send(
                    "POST",
                    "/v1/services/jobs/search",
                    &[("x-deadline-ms", "60")],
                    body.into(),
                )
                .await
        }
    };
    (text, answer.unwrap())
}

#[rstest]
#[case(Trouble::Overload)]
#[case(Trouble::Shedding)]
#[case(Trouble::Killed)]
#[case(Trouble::StoreDown)]
#[case(Trouble::SnapshotGone)]
fn what_is_refused_as_not_run_was_not_run(#[case] trouble: Trouble) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut service = ServicePlan::new("jobs", 3);
        service.behaviour.service_ms = 10.0;
        service.service.coverage_percent = 100;
        let mut fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
        cause(&mut fleet, trouble).await;
        let all = (0..REQUESTS).map(|n| send(&fleet, n, n % 4 == 0));
        let answers = join_all(all).await;
        let executions = fleet.all_executions().await;
        let ran: BTreeSet<&str> = executions
            .iter()
            .filter_map(|e| e["body"].as_str())
            .collect();
        let refused = |(_, a): &&(String, Answer)| a.body["ran"] == "no";
        for (text, answer) in answers.iter().filter(refused) {
            assert!(
                !ran.contains(format!("\"{text}\"").as_str()),
                "{text} ran, but {:?}",
                answer.body
            );
            let has_time = answer.retry_after.is_some() || answer.body["retry_after_ms"].is_null();
            assert!(has_time, "{answer:?}");
        }
        let count = answers.iter().filter(refused).count();
        println!("{trouble:?}: {count} of {REQUESTS} refused as not run");
        assert!(count > 0, "the trouble caused no refusal");
        let unclear = answers
            .iter()
            .filter(|(_, a)| a.status != 200 && !is_said(&a.body))
            .count();
        assert_eq!(unclear, 0, "every refusal says whether the request ran");
    });
}

fn is_said(body: &Value) -> bool {
    ["no", "yes", "unknown"].iter().any(|v| body["ran"] == *v)
}
