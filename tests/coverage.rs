//! The shards reported as covered are exactly those whose rows are in the
//! answer, while upstreams and owners are killed or frozen or stop answering
//! during searches.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use catalog::Objective;
use clock::Millis;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use standins::client::JsonClient;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, search};

const WORKERS: usize = 16;
const BEFORE_FAULT: Duration = Duration::from_millis(400);
const AFTER_FAULT: Duration = Duration::from_millis(2_500);
const SHARDS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    UpstreamKilled,
    UpstreamFrozen,
    UpstreamHanging,
    TwoUpstreamsKilled,
    OwnerKilled,
    OwnerFrozen,
}

type Answers = Rc<RefCell<Vec<(String, Value)>>>;

async fn search_repeatedly(
    client: JsonClient,
    id: usize,
    is_stopped: Rc<Cell<bool>>,
    answers: Answers,
) {
    let mut number = 0;
    while !is_stopped.get() {
        let query = format!("q-{id}-{number}");
        number += 1;
        match search(&client, "jobs", &json!(query)).await {
            Ok(answer) => answers.borrow_mut().push((query, answer.body)),
            Err(_) => compio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn inject(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::UpstreamKilled => fleet.upstream_process("jobs-2").kill(),
        Fault::UpstreamFrozen => fleet.upstream_process("jobs-2").freeze(),
        Fault::UpstreamHanging => fleet.control("jobs-2", json!({ "mode": "hanging" })).await,
        Fault::TwoUpstreamsKilled => {
            fleet.upstream_process("jobs-2").kill();
            fleet.upstream_process("jobs-3").kill();
        }
        Fault::OwnerKilled => fleet.daemons[2].process.kill(),
        Fault::OwnerFrozen => fleet.daemons[2].process.freeze(),
    }
}

/// Checks an answer against its own query and the executions that the upstreams
/// recorded; those of the `lost` upstreams may be missing.
fn check(query: &str, answer: &Value, recorded: &BTreeSet<(String, String)>, lost: &[&str]) {
    if !answer["rows"].is_object() {
        assert!(
            answer["ran"].is_string(),
            "a refusal must report whether the search ran: {answer}"
        );
        return;
    }
    let names = |list: &Value| -> BTreeSet<String> {
        let name = |v: &Value| {
            v.as_str()
                .or(v["shard"].as_str())
                .unwrap_or_default()
                .to_owned()
        };
        list.as_array().into_iter().flatten().map(name).collect()
    };
    let (covered, missing) = (names(&answer["covered"]), names(&answer["missing"]));
    let rows: BTreeSet<String> = answer["rows"]
        .as_object()
        .unwrap()
        .keys()
        .cloned()
        .collect();
    assert_eq!(covered, rows, "{answer}");
    assert!(covered.is_disjoint(&missing), "{answer}");
    assert_eq!(covered.len() + missing.len(), SHARDS, "{answer}");
    assert_eq!(answer["complete"], missing.is_empty(), "{answer}");
    for shard in &covered {
        let row = &answer["rows"][shard][0];
        assert_eq!(row["query"], query, "{answer}");
        assert_eq!(row["shard"], shard.as_str(), "{answer}");
        let is_recorded = recorded.contains(&(shard.clone(), format!("\"{query}\"")));
        let is_lost = lost.iter().any(|name| row["upstream"] == *name);
        assert!(
            is_recorded || is_lost,
            "no upstream recorded {shard} of {query}"
        );
    }
}

#[rstest]
#[case(Fault::UpstreamKilled, &["jobs-2"], SHARDS)]
#[case(Fault::UpstreamFrozen, &["jobs-2"], SHARDS)]
#[case(Fault::UpstreamHanging, &[], SHARDS)]
#[case(Fault::TwoUpstreamsKilled, &["jobs-2", "jobs-3"], SHARDS - 1)]
#[case(Fault::OwnerKilled, &[], SHARDS)]
#[case(Fault::OwnerFrozen, &[], SHARDS)]
fn reported_coverage_is_exact_under_faults(
    #[case] fault: Fault,
    #[case] lost: &[&str],
    #[case] remaining: usize,
) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let plan = Plan::of(ServicePlan::new("jobs", SHARDS));
        let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
        let is_stopped = Rc::new(Cell::new(false));
        let answers = Answers::default();
        let workers: Vec<_> = (0..WORKERS)
            .map(|n| {
                compio::runtime::spawn(search_repeatedly(
                    fleet.client(n % 2),
                    n,
                    is_stopped.clone(),
                    answers.clone(),
                ))
            })
            .collect();
        compio::time::sleep(BEFORE_FAULT).await;
        inject(&mut fleet, fault).await;
        compio::time::sleep(AFTER_FAULT).await;
        is_stopped.set(true);
        join_all(workers).await;
        if fault == Fault::UpstreamFrozen {
            fleet.upstream_process("jobs-2").resume();
        }
        let executions = fleet.all_executions().await;
        let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
        let recorded = executions
            .iter()
            .map(|e| (text(&e["shard"]), text(&e["body"])))
            .collect();
        let answers = answers.borrow();
        answers
            .iter()
            .for_each(|(query, answer)| check(query, answer, &recorded, lost));
        if matches!(
            fault,
            Fault::UpstreamKilled | Fault::OwnerKilled | Fault::OwnerFrozen
        ) {
            // With a replica or a daemon left, a search fails over well before
            // its deadline.
            let incomplete = answers.iter().find(|(_, a)| a["complete"] != true);
            assert!(incomplete.is_none(), "{incomplete:?}");
        }
        let last = answers.iter().rev().take(20);
        let best = last
            .map(|(_, a)| a["covered"].as_array().map_or(0, Vec::len))
            .max();
        assert_eq!(
            best,
            Some(remaining),
            "after the fault, searches must cover the remaining shards"
        );
        println!("{fault:?}: {} answers checked", answers.len());
    });
}

/// All replicas of a shard are down for 500 ms: the objective decides whether a
/// search waits for them or answers without them.
#[rstest]
#[case::coverage(Objective::Coverage, true)]
#[case::latency(Objective::Latency, false)]
#[compio::test]
async fn the_objective_decides_whether_a_search_waits_for_a_lost_shard(
    #[case] objective: Objective,
    #[case] is_complete: bool,
) {
    let mut service = ServicePlan::new("jobs", SHARDS);
    service.service.objective = objective;
    service.service.deadline_ms = Millis(5_000);
    let mut fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
    let replicas = fleet.declarations.services[0].shards[0].upstreams.clone();
    for name in &replicas {
        fleet.upstream_process(name).kill();
    }
    let client = fleet.client(0);
    let searching =
        compio::runtime::spawn(async move { search(&client, "jobs", &json!("patient")).await });
    compio::time::sleep(Duration::from_millis(500)).await;
    let is_waiting = !searching.is_finished();
    for name in &replicas {
        fleet.restart_upstream(name).await;
    }
    let answer = searching.await.unwrap().expect("the daemon answers");
    assert_eq!(is_waiting, is_complete, "{answer:?}");
    assert_eq!(answer.body["complete"], is_complete, "{answer:?}");
}
