//! On SIGTERM a daemon aborts no request in flight and refuses none during the
//! grace period.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use standins::fleet::{Binaries, Fleet, Plan, ServicePlan, search};

const WORKERS: usize = 10;

#[compio::test]
async fn a_daemon_shuts_down_without_aborting_or_refusing_requests() {
    let mut service = ServicePlan::new("jobs", 6);
    service.behaviour.service_ms = 40.0;
    service.service.deadline_ms = clock::Millis(5_000);
    let settings = json!({ "grace_ms": 1_000, "drain_ms": 5_000, "heartbeat_ms": 200 });
    let plan = Plan {
        services: vec![service],
        settings,
        ..Plan::default()
    };
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    // Daemon 0 shuts down; it is the root for its own callers and an owner for
    // those of daemon 1.
    let is_in_rotation = Rc::new(Cell::new(true));
    let is_stopped = Rc::new(Cell::new(false));
    let clients = (0..WORKERS).map(|n| (n, fleet.client(n % 2)));
    let workers: Vec<_> = clients
        .map(|(n, client)| {
            let (is_in_rotation, is_stopped) = (is_in_rotation.clone(), is_stopped.clone());
            compio::runtime::spawn(async move {
                let mut count = 0;
                while !is_stopped.get() && (n % 2 == 1 || is_in_rotation.get()) {
                    let answer = search(&client, "jobs", &json!(n)).await;
                    let answer = answer.unwrap_or_else(|e| panic!("worker {n} got no answer: {e}"));
                    assert_eq!(answer.body["complete"], true, "worker {n}: {answer:?}");
                    count += 1;
                }
                count
            })
        })
        .collect();
    compio::time::sleep(Duration::from_millis(500)).await;
    fleet.daemons[0].process.terminate();
    compio::time::sleep(Duration::from_millis(300)).await;
    let readiness = fleet.client(0).get("/readyz").await.unwrap();
    assert_eq!(
        readiness.status, 503,
        "the load balancer must see the daemon as unready"
    );
    // The load balancer reacts 800 ms after the signal, within the grace period
    // of 1 s.
    compio::time::sleep(Duration::from_millis(500)).await;
    is_in_rotation.set(false);
    let code = fleet.daemons[0].process.wait(Duration::from_secs(10)).await;
    compio::time::sleep(Duration::from_millis(500)).await;
    is_stopped.set(true);
    let counts: Vec<u32> = join_all(workers)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect();
    assert_eq!(code, Some(0));
    let log = fleet.daemons[0].process.read_log();
    let drained = log
        .lines()
        .find(|l| l.contains("\"drained\""))
        .expect("the shutdown is logged");
    let drained: serde_json::Value = serde_json::from_str(drained).unwrap();
    assert_eq!(drained["cut"], 0, "{drained}");
    assert!(counts.iter().all(|c| *c > 0), "{counts:?}");
}

#[compio::test]
async fn a_second_signal_ends_a_daemon_at_once() {
    let settings = json!({ "grace_ms": 60_000, "drain_ms": 60_000, "heartbeat_ms": 200 });
    let mut fleet = Fleet::ready(
        &Binaries::find(),
        Plan {
            settings,
            ..Plan::default()
        },
    )
    .await;
    fleet.daemons[0].process.terminate();
    compio::time::sleep(Duration::from_millis(300)).await;
    assert!(fleet.daemons[0].process.is_running());
    fleet.daemons[0].process.terminate();
    assert_eq!(
        fleet.daemons[0].process.wait(Duration::from_secs(5)).await,
        Some(0)
    );
}

#[compio::test]
async fn an_operator_shuts_down_a_daemon_through_another_one() {
    let settings = json!({ "grace_ms": 200, "drain_ms": 1_000, "heartbeat_ms": 200 });
    let plan = Plan {
        settings,
        ..Plan::default()
    };
    let mut fleet = Fleet::ready(&Binaries::find(), plan).await;
    let address = fleet.daemons[1].peers.to_string();
    let drain = |instance| {
        [
            "drain",
            "--daemon",
            &address,
            "--output",
            "json",
            "--instance",
            instance,
        ]
    };
    let unknown = fleet.run(&drain("entry-9")).await;
    assert!(unknown.to_string().contains("entry-9"), "{unknown}");
    let reply = fleet.run(&drain("entry-1")).await;
    assert_eq!(reply["accepted"], true, "{reply}");
    let code = fleet.daemons[0].process.wait(Duration::from_secs(10)).await;
    assert_eq!(code, Some(0));
    assert!(fleet.daemons[1].process.is_running());
}
