//! The operation of a gateway process: shutdown, log, settings, metrics and state.
//! Real processes run against a stand-in store and upstreams.

use std::time::{Duration, Instant};

use clock::Millis;
use http::{Request, StatusCode};
use serde_json::json;
use standins::fleet::{Binaries, Process, wait_until};
use standins::platform::endpoints::unused_endpoints;
use standins::platform::gateway::{ANSWER_LIMIT_BYTES, PROPAGATION, TIMEOUT, ready};
use standins::platform::site::{self, HOST, READ, SEARCH, SHARDS, start_site};
use transport::Payload;
use uuid::Uuid;

/// A gateway exits within this time after SIGTERM.
const EXIT_LIMIT: Duration = Duration::from_secs(6);

#[compio::test]
async fn a_shutdown_aborts_no_request_and_turns_unready_at_once() {
    let site = start_site().await;
    let mut gateway = ready(&site).await;
    for upstream in &site.shards[0] {
        upstream.service_time.set(Millis(400));
    }
    let endpoints = gateway.endpoints;
    let request = Request::get(format!("{READ}1"))
        .header("host", HOST)
        .header("request-id", "r1")
        .header("deadline-milliseconds", "1000")
        .body(Payload::default())
        .unwrap();
    let running = compio::runtime::spawn(async move {
        transport::request(endpoints.callers(), request, ANSWER_LIMIT_BYTES, TIMEOUT).await
    });
    compio::time::sleep(Duration::from_millis(100)).await;
    gateway.process.terminate();
    compio::time::sleep(Duration::from_millis(100)).await;
    assert!(!gateway.is_ready().await);
    let answer = running.await.expect("the request's task ends");
    assert_eq!(answer.expect("it is answered").status(), StatusCode::OK);
    assert!(!site.store.has("coltsfootgw/instances/"));
    let code = gateway.process.wait(Duration::from_secs(6)).await;
    assert_eq!(code, Some(0));
}

#[compio::test]
async fn a_log_that_nobody_reads_delays_no_answer() {
    const REQUESTS: usize = 2_500;
    let site = start_site().await;
    let endpoints = unused_endpoints();
    let settings = site::settings("deaf", endpoints, "a", site.store_address, &[]);
    let path = std::env::temp_dir().join(format!("coltsfootgw-{}.yaml", Uuid::new_v4()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut child = std::process::Command::new(Binaries::find().product)
        .args(["gateway", "--settings", path.to_str().unwrap()])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let client = transport::Client::new(endpoints.callers());
    let mut slowest = Duration::ZERO;
    let unknown = || {
        Request::get(format!("/nowhere/{}", "x".repeat(2_000)))
            .header("host", HOST)
            .header("request-id", "r")
            .body(Payload::default())
            .unwrap()
    };
    let is_up = async || client.send(unknown(), 4_096, TIMEOUT).await.is_ok();
    wait_until("the gateway answers", PROPAGATION, is_up).await;
    for _ in 0..REQUESTS {
        let started = Instant::now();
        let answer = client.send(unknown(), 4_096, TIMEOUT).await;
        assert!(answer.is_ok());
        slowest = slowest.max(started.elapsed());
        compio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    // It still exits on SIGTERM.
    standins::fleet::terminate(child.id());
    let has_exited = async || child.try_wait().unwrap().is_some();
    wait_until("the gateway has exited", EXIT_LIMIT, has_exited).await;
    std::fs::remove_file(&path).unwrap();
}

#[compio::test]
async fn settings_are_reloaded_and_bad_ones_change_nothing() {
    let site = start_site().await;
    let mut gateway = ready(&site).await;
    let path = gateway.dir.join("settings.yaml");
    let good = std::fs::read_to_string(&path).unwrap();
    gateway.process.hang_up();
    gateway.process.wait_for_line("settings reloaded").await;
    std::fs::write(&path, good.replace("\"grace-s\":6", "\"grace-s\":\"long\"")).unwrap();
    gateway.process.hang_up();
    gateway.process.wait_for_line("settings not reloaded").await;
    // A change of the file is also loaded without a signal.
    std::fs::write(&path, good.replace("\"grace-s\":6", "\"grace-s\":7")).unwrap();
    gateway.process.wait_for_line("\"grace_ms\":7000").await;
    assert!(gateway.process.is_running());
    let answer = gateway.get(&format!("{SEARCH}1"), "r1").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

#[compio::test]
async fn the_settings_file_is_checked_offline() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    let path = gateway.dir.join("settings.yaml");
    let check = |name: &str| {
        let arguments = ["check", "--platform", path.to_str().unwrap()];
        Process::start(&Binaries::find().product, &arguments, &gateway.dir, name)
    };
    assert_eq!(check("good").wait(Duration::from_secs(5)).await, Some(0));
    std::fs::write(&path, "node-name: a\nzone: 7\n").unwrap();
    let mut bad = check("bad");
    assert_eq!(bad.wait(Duration::from_secs(5)).await, Some(3));
    assert!(
        bad.read_log().contains("settings.yaml: line "),
        "{}",
        bad.read_log()
    );
}

#[compio::test]
async fn metrics_and_state_report_requests_and_upstreams() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    gateway.get(&format!("{SEARCH}1"), "r1").await;
    gateway.get("/nowhere/", "r2").await;
    let metrics = gateway.metrics("/metrics").await;
    for expected in [
        "coltsfootgw_request_seconds_count{outcome=\"answered\",route=\"search\"} 1",
        "coltsfootgw_refusals_total{reason=\"no_route\"} 1",
        "coltsfootgw_upstreams{state=\"serving\"} 8",
        "coltsfootgw_store_calls_total{operation=\"kv-range\"}",
    ] {
        assert!(
            metrics.contains(expected),
            "`{expected}` is not in {metrics}"
        );
    }
    let state: serde_json::Value = serde_json::from_str(&gateway.metrics("/state").await).unwrap();
    assert_eq!(state["version"], 1);
    assert_eq!(state["daemons"], 1);
    assert_eq!(state["services"].as_array().map(Vec::len), Some(SHARDS));
    let log = gateway.process.wait_for_line("\"r2\"").await;
    assert_eq!(
        (&log["cause"], &log["status"]),
        (&json!("no_route"), &json!(404))
    );
}
