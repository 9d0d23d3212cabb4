//! No upstream has run a request that was refused as not run.

use std::collections::BTreeSet;

use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use standins::client::Answer;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, book};
use uuid::Uuid;

const REQUESTS: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Overload,
    Shedding,
    Killed,
    StoreDown,
    SnapshotGone,
}

async fn inject(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Overload => {}
        Fault::Shedding => {
            for name in ["jobs-1", "jobs-2", "jobs-3"] {
                fleet.control(name, json!({ "mode": "shedding" })).await;
            }
        }
        Fault::Killed => {
            fleet.upstream_process("jobs-1").kill();
            fleet.upstream_process("jobs-2").kill();
        }
        Fault::StoreDown => fleet.set_store_faults(json!({ "down": true })).await,
        Fault::SnapshotGone => {
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
#[case(Fault::Overload)]
#[case(Fault::Shedding)]
#[case(Fault::Killed)]
#[case(Fault::StoreDown)]
#[case(Fault::SnapshotGone)]
fn requests_refused_as_not_run_were_not_run(#[case] fault: Fault) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let mut service = ServicePlan::new("jobs", 3);
        service.behaviour.service_ms = 10.0;
        service.service.coverage_percent = 100;
        let mut fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
        inject(&mut fleet, fault).await;
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
            let has_retry_time =
                answer.retry_after.is_some() || answer.body["retry_after_ms"].is_null();
            assert!(has_retry_time, "{answer:?}");
        }
        let count = answers.iter().filter(refused).count();
        println!("{fault:?}: {count} of {REQUESTS} refused as not run");
        assert!(count > 0, "the fault caused no refusal");
        let unclear = answers
            .iter()
            .filter(|(_, a)| a.status != 200 && !reports_ran(&a.body))
            .count();
        assert_eq!(
            unclear, 0,
            "a refusal does not report whether the request ran"
        );
    });
}

fn reports_ran(body: &Value) -> bool {
    ["no", "yes", "unknown"].iter().any(|v| body["ran"] == *v)
}
