//! A request that crashes each upstream that runs it is stopped; innocent
//! requests beside it are not refused.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::JoinHandle;
use futures_util::future::join_all;
use serde_json::{Value, json};
use standins::client::JsonClient;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, UpstreamProcess, search};

const RESENDS: usize = 6;
const INNOCENTS: usize = 6;

fn crashed(fleet: &mut Fleet) -> Vec<&UpstreamProcess> {
    let all = fleet.upstreams.iter_mut();
    all.filter_map(|u| (!u.process.is_running()).then_some(&*u))
        .collect()
}

/// Shards with three replicas each, under a load of searches.
async fn loaded_fleet(shards: usize) -> (Fleet, Innocents) {
    let mut service = ServicePlan::new("jobs", shards);
    service.replicas = 3;
    let fleet = Fleet::ready(&Binaries::find(), Plan::of(service)).await;
    let innocents = Innocents::start(&fleet);
    compio::time::sleep(Duration::from_millis(300)).await;
    (fleet, innocents)
}

/// Searches that run beside, each with a text of its own.
struct Innocents {
    tasks: Vec<JoinHandle<usize>>,
    is_over: Rc<Cell<bool>>,
    refused: Rc<RefCell<Vec<Value>>>,
}

impl Innocents {
    fn start(fleet: &Fleet) -> Self {
        let is_over = Rc::new(Cell::new(false));
        let refused = Rc::new(RefCell::new(Vec::new()));
        let start = |n| {
            let client = fleet.client(n % 3);
            compio::runtime::spawn(search_on(client, n, is_over.clone(), refused.clone()))
        };
        Self {
            tasks: (0..INNOCENTS).map(start).collect(),
            is_over,
            refused,
        }
    }

    /// Returns how many were sent, and the refusals.
    async fn finish(self) -> (usize, Vec<Value>) {
        self.is_over.set(true);
        let sent = join_all(self.tasks).await;
        (
            sent.into_iter().map(Result::unwrap).sum(),
            self.refused.take(),
        )
    }
}

async fn search_on(
    client: JsonClient,
    number: usize,
    is_over: Rc<Cell<bool>>,
    refused: Rc<RefCell<Vec<Value>>>,
) -> usize {
    let mut count = 0;
    while !is_over.get() {
        let query = json!(format!("innocent-{number}-{count}"));
        count += 1;
        let answer = search(&client, "jobs", &query)
            .await
            .expect("the daemon answers");
        if answer.status != 200 {
            refused.borrow_mut().push(answer.body);
        }
    }
    count
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
    let (mut fleet, innocents) = loaded_fleet(6).await;
    let mut last = Value::Null;
    for resend in 0..RESENDS {
        last = send_marked(&fleet, resend % 3, &json!(["s0"])).await;
    }
    compio::time::sleep(Duration::from_millis(500)).await;
    let (sent, refused) = innocents.finish().await;
    let crashes = crashed(&mut fleet).len();
    println!(
        "{crashes} crashes, {sent} innocent requests, {} refused",
        refused.len()
    );
    assert!(
        (1..=2).contains(&crashes),
        "{crashes} upstreams crashed: {last}"
    );
    assert_eq!(last["title"], "quarantined", "{last}");
    assert!(last["retry_after_ms"].as_u64() > Some(0), "{last}");
    assert!(refused.is_empty(), "{refused:?}");
}

/// The request that each crashed upstream ran, as it logged.
fn crash_causes(fleet: &mut Fleet) -> Vec<Value> {
    let logs = crashed(fleet).into_iter().map(|u| u.process.read_log());
    logs.map(|log| {
        let last = log.lines().last().unwrap_or_default();
        let line: Value = serde_json::from_str(last).unwrap_or_default();
        line["crashed_by"].clone()
    })
    .collect()
}

/// The first wave of a wide request reaches every shard at once; sending it
/// again crashes nothing more. The first answer comes while its wave is still
/// running, so each crash is counted for the request that caused it; all
/// resends have other identifiers.
#[compio::test]
async fn a_wide_request_crashes_nothing_when_it_is_sent_again() {
    let plan = Plan::of(ServicePlan::new("jobs", 12));
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    let first = send_marked(&fleet, 0, &Value::Null).await;
    let at_answer = crashed(&mut fleet).len();
    let mut answers = Vec::new();
    for resend in 0..RESENDS {
        answers.push(send_marked(&fleet, resend % 3, &Value::Null).await);
    }
    compio::time::sleep(Duration::from_millis(500)).await;
    let causes = crash_causes(&mut fleet);
    println!(
        "{at_answer} of 12 upstreams crashed by the first answer, {} after {RESENDS} resends; first answer {first}",
        causes.len()
    );
    let ids: HashSet<&str> = causes.iter().filter_map(Value::as_str).collect();
    assert_eq!(ids.len(), 1, "{causes:?} {first} {answers:?}");
    assert_eq!(first["ran"], "unknown", "{first}");
    assert!(first["retry_after_ms"].as_u64() > Some(0), "{first}");
    assert!(
        answers
            .iter()
            .all(|a| a["title"] == "quarantined" && a["ran"] == "no"),
        "{answers:?}"
    );
}

/// Kills the upstreams of one failure domain, with a pause after each, and
/// checks that no search was refused.
async fn lose_a_domain(mut fleet: Fleet, innocents: Innocents, pause: Duration) {
    let declared = &fleet.declarations.services[0].upstreams;
    let in_domain = declared.iter().filter(|u| u.domain == "a");
    let lost: Vec<String> = in_domain.map(|u| u.name.clone()).collect();
    for name in &lost {
        fleet.upstream_process(name).kill();
        compio::time::sleep(pause).await;
    }
    compio::time::sleep(Duration::from_millis(500)).await;
    let (sent, refused) = innocents.finish().await;
    println!(
        "{} upstreams lost, {sent} searches, refused {refused:?}",
        lost.len()
    );
    assert!(lost.len() > 1, "{lost:?}");
    assert!(refused.is_empty(), "{refused:?}");
}

/// All upstreams of one failure domain die at once under load: that says
/// nothing about the searches that ran there.
#[compio::test]
async fn losing_a_failure_domain_quarantines_no_search() {
    let (fleet, innocents) = loaded_fleet(6).await;
    lose_a_domain(fleet, innocents, Duration::ZERO).await;
}

/// The upstreams of a failure domain die one after the other: a search that
/// lost its first one there must not be judged by the next one.
#[compio::test]
async fn a_failure_domain_lost_bit_by_bit_quarantines_no_search() {
    let (fleet, innocents) = loaded_fleet(12).await;
    lose_a_domain(fleet, innocents, Duration::from_millis(15)).await;
}
