//! A request that crashes each upstream that runs it is stopped; innocent
//! requests beside it are not refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, search};

const RESENDS: usize = 6;
const INNOCENTS: usize = 6;

fn crashed(fleet: &mut Fleet) -> usize {
    fleet
        .upstreams
        .iter_mut()
        .filter_map(|u| (!u.process.is_running()).then_some(()))
        .count()
}

async fn send_marked(fleet: &Fleet, daemon: usize, shards: &Value) -> Value {
    let body = json!({ "query": "crash-upstream", "shards": shards }).to_string();
    let answer = fleet
        .client(daemon)
        .send("POST", "/v1/services/jobs/search", &[], body.into())
        .await;
    answer.expect("the daemon answers").body
}

#[compio::test]
async fn a_request_to_one_shard_crashes_two_upstreams_at_most() {
    let mut service = ServicePlan::new("jobs", 6);
    service.replicas = 3;
    let mut fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
    let is_over = Rc::new(Cell::new(false));
    let refused = Rc::new(RefCell::new(Vec::new()));
    let innocents: Vec<_> = (0..INNOCENTS)
        .map(|n| {
            let (client, is_over, refused) =
                (fleet.client(n % 3), is_over.clone(), refused.clone());
            compio::runtime::spawn(async move {
                let mut count = 0_usize;
                while !is_over.get() {
                    let query = json!(format!("innocent-{n}-{count}"));
                    count += 1;
                    let answer = search(&client, "jobs", &query)
                        .await
                        .expect("the daemon answers");
                    if answer.status != 200 {
                        refused.borrow_mut().push(answer.body);
                    }
                }
                count
            })
        })
        .collect();
    compio::time::sleep(Duration::from_millis(300)).await;
    let mut last = Value::Null;
    for resend in 0..RESENDS {
        last = send_marked(&fleet, resend % 3, &json!(["s0"])).await;
    }
    compio::time::sleep(Duration::from_millis(500)).await;
    is_over.set(true);
    let sent: usize = join_all(innocents)
        .await
        .into_iter()
        .map(Result::unwrap)
        .sum();
    let crashes = crashed(&mut fleet);
    println!(
        "{crashes} crashes, {sent} innocent requests, {} refused",
        refused.borrow().len()
    );
    assert!(
        (1..=2).contains(&crashes),
        "{crashes} upstreams crashed: {last}"
    );
    assert_eq!(last["title"], "quarantined", "{last}");
    assert!(last["retry_after_ms"].as_u64() > Some(0), "{last}");
    assert!(refused.borrow().is_empty(), "{:?}", refused.borrow());
}

/// The first wave of a wide request reaches every shard at once; sending it
/// again crashes nothing more.
#[compio::test]
async fn a_wide_request_crashes_nothing_when_it_is_sent_again() {
    let plan = Plan::of(ServicePlan::new("jobs", 12));
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    let first = send_marked(&fleet, 0, &Value::Null).await;
    let wave = crashed(&mut fleet);
    let mut answers = Vec::new();
    for resend in 0..RESENDS {
        answers.push(send_marked(&fleet, resend % 3, &Value::Null).await);
    }
    let total = crashed(&mut fleet);
    println!(
        "first wave {wave} of 12 upstreams, {} after {RESENDS} resends; first answer {}",
        total, first["title"]
    );
    assert_eq!(total, wave, "{answers:?}");
    assert!(
        answers
            .iter()
            .all(|a| a["title"] == "quarantined" && a["ran"] == "no"),
        "{answers:?}"
    );
}
