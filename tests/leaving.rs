//! 3 s after an upstream signals that it is leaving, or a drain is declared for
//! it, no daemon sends it new work.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, search};

const DAEMONS: usize = 7;
const STOP_LIMIT: Duration = Duration::from_secs(3);
const OBSERVATION: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaveSignal {
    Header,
    Health,
    Declaration,
}

async fn search_all(fleet: &Fleet, rounds: usize) {
    for _ in 0..rounds {
        for daemon in 0..DAEMONS {
            let _ = search(&fleet.client(daemon), "jobs", &json!("x")).await;
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn owner(fleet: &Fleet) -> usize {
    let dump = fleet.dump(0).await;
    let name = dump["ownership"][0]["owner"].as_str().unwrap().to_owned();
    fleet.daemons.iter().position(|d| d.name == name).unwrap()
}

#[rstest]
#[case(LeaveSignal::Header, false)]
#[case(LeaveSignal::Health, false)]
#[case(LeaveSignal::Declaration, false)]
#[case(LeaveSignal::Header, true)]
#[case(LeaveSignal::Health, true)]
#[case(LeaveSignal::Declaration, true)]
fn a_leaving_upstream_gets_no_new_work(#[case] signal: LeaveSignal, #[case] is_owner_killed: bool) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let plan = Plan {
            daemons: DAEMONS,
            services: vec![ServicePlan::new("jobs", 3)],
            ..Plan::default()
        };
        let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
        let owner = owner(&fleet).await;
        match signal {
            LeaveSignal::Header => {
                fleet
                    .control("jobs-1", json!({ "leaving": "header" }))
                    .await
            }
            LeaveSignal::Health => {
                fleet
                    .control("jobs-1", json!({ "leaving": "health" }))
                    .await
            }
            LeaveSignal::Declaration => {
                let other = (owner + 1) % DAEMONS;
                let address = fleet.daemons[other].peers.to_string();
                let reply = fleet
                    .run(&[
                        "drain", "--output", "json", "--daemon", &address, "jobs", "jobs-1",
                    ])
                    .await;
                assert_eq!(reply["accepted"], true, "{reply}");
            }
        }
        // The daemons receive the header only with an answer.
        search_all(&fleet, 2).await;
        if is_owner_killed {
            fleet.daemons[owner].process.kill();
        }
        let end = std::time::Instant::now() + STOP_LIMIT;
        while std::time::Instant::now() < end {
            search_all(&fleet, 1).await;
        }
        let before = fleet.executions("jobs-1").await.len();
        let end = std::time::Instant::now() + OBSERVATION;
        while std::time::Instant::now() < end {
            search_all(&fleet, 1).await;
        }
        let after = fleet.executions("jobs-1").await.len();
        assert!(before > 0, "the upstream had no work before");
        assert_eq!(after - before, 0, "new work after {STOP_LIMIT:?}");
    });
}
