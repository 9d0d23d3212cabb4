//! All rows of an answer are from one snapshot and one shard map while upstreams
//! switch snapshots and shards are repartitioned under load.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::client::JsonClient;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, search};

const ROUNDS: u64 = 8;
const ROUND_TIME: Duration = Duration::from_millis(600);
const SWITCH_PAUSE: Duration = Duration::from_millis(25);
const WORKERS: usize = 12;

/// Searches until it is stopped and records every answer.
async fn search_repeatedly(
    client: JsonClient,
    is_stopped: Rc<Cell<bool>>,
    answers: Rc<RefCell<Vec<Value>>>,
) {
    while !is_stopped.get() {
        if let Ok(answer) = search(&client, "jobs", &json!("x")).await {
            answers.borrow_mut().push(answer.body);
        }
    }
}

/// The shard maps and snapshots that the rows of an answer are from.
fn versions(answer: &Value) -> BTreeSet<String> {
    let rows = answer["rows"].as_object().into_iter().flatten();
    rows.map(|(_, rows)| format!("{}@{}", rows[0]["partitioning"], rows[0]["snapshot"]))
        .collect()
}

/// Sets what the upstreams hold, one upstream after the other.
async fn switch(fleet: &Fleet, holds: &Value) {
    for number in 1..=6 {
        fleet
            .control(&format!("jobs-{number}"), json!({ "holds": holds }))
            .await;
        compio::time::sleep(SWITCH_PAUSE).await;
    }
}

#[compio::test]
async fn answers_never_mix_snapshots_or_shard_maps() {
    let plan = Plan::of(ServicePlan::new("jobs", 6));
    let fleet = Fleet::ready(&Binaries::find(), plan).await;
    let is_stopped = Rc::new(Cell::new(false));
    let answers = Rc::new(RefCell::new(Vec::new()));
    let workers: Vec<_> = (0..WORKERS)
        .map(|n| {
            compio::runtime::spawn(search_repeatedly(
                fleet.client(n % 3),
                is_stopped.clone(),
                answers.clone(),
            ))
        })
        .collect();
    let mut declared = fleet.declarations.clone();
    for round in 1..=ROUNDS {
        let old = declared.services[0].partitioning.clone();
        let new = format!("p{}", round + 1);
        let held =
            |label: &str, snapshot: u64| json!({ "partitioning": label, "snapshot": snapshot });
        // The upstreams hold both maps and both snapshots for a round, then only
        // the new ones.
        switch(
            &fleet,
            &json!([
                held(&old, round),
                held(&old, round + 1),
                held(&new, round + 1)
            ]),
        )
        .await;
        declared.services[0].partitioning.clone_from(&new);
        declared.services[0].shards.rotate_left(1);
        for (i, shard) in declared.services[0].shards.iter_mut().enumerate() {
            shard.name = format!("{new}-s{i}");
        }
        let reply = fleet
            .apply(0, &declared, &format!("repartition-{round}"))
            .await;
        assert_eq!(reply["outcome"], "committed", "{reply}");
        compio::time::sleep(ROUND_TIME).await;
        switch(&fleet, &json!([held(&new, round + 1)])).await;
    }
    is_stopped.set(true);
    join_all(workers).await;
    let answers = answers.borrow();
    let with_rows: Vec<&Value> = answers.iter().filter(|a| a["rows"].is_object()).collect();
    let seen: BTreeSet<String> = with_rows.iter().flat_map(|a| versions(a)).collect();
    assert!(seen.len() > 4, "the answers came only from {seen:?}");
    for answer in &with_rows {
        let expected = format!("{}@\"{}\"", answer["partitioning"], answer["snapshot"]);
        assert_eq!(versions(answer), BTreeSet::from([expected]), "{answer}");
        for shard in answer["rows"].as_object().unwrap().keys() {
            let label = answer["partitioning"].as_str().unwrap();
            assert!(
                label == "p1" || shard.starts_with(&format!("{label}-")),
                "{answer}"
            );
        }
    }
    let complete = with_rows.iter().filter(|a| a["complete"] == true).count();
    println!(
        "{} answers, {} with rows, {complete} complete",
        answers.len(),
        with_rows.len()
    );
    assert!(
        complete * 2 > answers.len(),
        "{complete} of {} answers are complete",
        answers.len()
    );
}
