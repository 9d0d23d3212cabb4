//! The gateway on the platform: real processes against a stand-in store and
//! stand-in upstreams.

use std::time::{Duration, Instant};

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Method, Request, StatusCode};
use rstest::rstest;
use serde_json::json;
use standins::fleet::{Binaries, Process, wait_until};
use standins::platform::endpoints::unused_endpoints;
use standins::platform::gateway::{PROPAGATION, ready, start_gateway};
use standins::platform::site::{self, HOST, READ, SEARCH, Site, Size, WRITE};
use standins::platform::upstream::Mode;
use transport::Payload;
use uuid::Uuid;

const SHARDS: usize = 4;
const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
/// A gateway exits within this time after SIGTERM.
const EXIT_LIMIT: Duration = Duration::from_secs(6);
const TIMEOUT: Millis = Millis(5_000);
const RECORD_BYTES: usize = 16;

async fn start_site() -> Site {
    let size = Size {
        shards: SHARDS,
        replicas: 2,
        service_time: Millis(5),
    };
    Site::start(size).await.expect("loopback ports are free")
}

fn part_stamps(headers: &HeaderMap) -> Vec<String> {
    let text = headers["part-stamps"].to_str().unwrap();
    text.split(", ").map(str::to_owned).collect()
}

#[compio::test]
async fn a_search_merges_the_greatest_records_of_all_shards() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    let answer = gateway.get(&format!("{SEARCH}1"), "r1").await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(part_stamps(answer.headers()).len(), SHARDS);
    assert_eq!(answer.headers()["missing-parts"], "0");
    let records: Vec<&[u8]> = answer.body().chunks(RECORD_BYTES).collect();
    assert_eq!(records.len(), 20);
    assert!(records.is_sorted_by(|a, b| a >= b));
    assert_eq!(site.runs("r1"), SHARDS);
}

#[compio::test]
async fn a_search_answers_by_its_target_latency_without_a_hanging_shard() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site.set_mode(2, &Mode::Hanging);
    let started = Instant::now();
    let answer = gateway.get(&format!("{SEARCH}1"), "r1").await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers()["missing-parts"], "1");
    assert_eq!(part_stamps(answer.headers()).len(), SHARDS - 1);
    assert!(
        started.elapsed() < Duration::from_millis(150),
        "{:?}",
        started.elapsed()
    );
}

#[compio::test]
async fn a_search_that_lacks_too_many_shards_fails_at_once() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    for shard in 0..2 {
        for replica in 0..2 {
            site.report(shard, replica, "draining", 2);
        }
    }
    compio::time::sleep(PROPAGATION).await;
    let started = Instant::now();
    let answer = gateway.get(&format!("{SEARCH}1"), "r1").await;
    assert!(answer.status().is_server_error());
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "{:?}",
        started.elapsed()
    );
}

#[rstest]
#[case::not_run(Mode::NotRun, READ, StatusCode::OK, 1)]
#[case::failing(Mode::Failing, READ, StatusCode::OK, 2)]
#[case::wrong_id(Mode::WrongId, READ, StatusCode::OK, 2)]
#[case::write_not_run(Mode::NotRun, WRITE, StatusCode::OK, 1)]
#[case::write_failing(Mode::Failing, WRITE, StatusCode::INTERNAL_SERVER_ERROR, 1)]
#[case::write_wrong_id(Mode::WrongId, WRITE, StatusCode::BAD_GATEWAY, 1)]
#[compio::test]
async fn only_what_may_run_again_is_sent_again(
    #[case] mode: Mode,
    #[case] prefix: &str,
    #[case] status: StatusCode,
    #[case] runs: usize,
) {
    let site = start_site().await;
    let gateway = ready(&site).await;
    // Either replica may be preferred, so each answers this way in turn.
    let mut outcomes = Vec::new();
    for (at, upstream) in site.shards[0].iter().enumerate() {
        *upstream.mode.borrow_mut() = mode.clone();
        for i in 0..2 {
            let (path, id) = (format!("{prefix}x"), format!("r{at}-{i}"));
            let sent = gateway.send(Method::POST, &path, &id, Bytes::from("body"));
            outcomes.push((sent.await.status(), site.runs(&id)));
        }
        *upstream.mode.borrow_mut() = Mode::Normal;
    }
    assert!(outcomes.contains(&(status, runs)), "{outcomes:?}");
    let is_allowed = |(s, r): &(StatusCode, usize)| {
        (*s, *r) == (status, runs) || (*s, *r) == (StatusCode::OK, 1)
    };
    assert!(outcomes.iter().all(is_allowed), "{outcomes:?}");
}

#[rstest]
#[case::reads(READ)]
#[case::writes(WRITE)]
#[compio::test]
async fn refused_sends_are_repeated_within_the_budget(#[case] prefix: &str) {
    const REQUESTS: usize = 40;
    // The budget starts with 4 tokens and gains 0.2 with each request.
    const RETRY_TOKENS: usize = 4 + REQUESTS / 5;
    let site = start_site().await;
    let gateway = ready(&site).await;
    site.set_mode(0, &Mode::NotRun);
    for i in 0..REQUESTS {
        let (path, id) = (format!("{prefix}x"), format!("r{i}"));
        let sent = gateway.send(Method::POST, &path, &id, Bytes::new());
        assert_eq!(sent.await.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(site.runs(&id), 0);
    }
    let sends: usize = site.shards[0].iter().map(|u| u.refused.get()).sum();
    assert!(
        (REQUESTS..=REQUESTS + RETRY_TOKENS).contains(&sends),
        "{sends}"
    );
}

#[compio::test]
async fn an_upstream_that_refuses_is_rarely_chosen() {
    const REQUESTS: usize = 60;
    let site = start_site().await;
    let gateway = ready(&site).await;
    for i in 0..10 {
        gateway
            .get(&format!("{READ}{i}"), &format!("warm-{i}"))
            .await;
    }
    *site.shards[0][0].mode.borrow_mut() = Mode::NotRun;
    let mut served = 0;
    for i in 0..REQUESTS {
        let answer = gateway.get(&format!("{READ}{i}"), &format!("r{i}")).await;
        served += usize::from(answer.status() == StatusCode::OK);
    }
    assert_eq!(served, REQUESTS);
    let refused = site.shards[0][0].refused.get();
    assert!(refused < REQUESTS / 6, "{refused}");
}

#[compio::test]
async fn malformed_requests_get_clear_errors() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    let unknown = gateway.get("/nowhere/", "r1").await;
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    let request = Request::get(format!("{READ}1"))
        .header("host", HOST)
        .body(Payload::default())
        .unwrap();
    assert_eq!(
        gateway.exchange(request).await.status(),
        StatusCode::BAD_REQUEST
    );
    let large = Bytes::from(vec![0; 300_000]);
    let answer = gateway
        .send(Method::POST, &format!("{WRITE}1"), "r2", large)
        .await;
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(site.runs("r2"), 0);
}

#[compio::test]
async fn nothing_is_sent_to_an_upstream_that_drains_or_is_deleted() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site.report(0, 0, "draining", 2);
    compio::time::sleep(PROPAGATION).await;
    let ran_before = site.shards[0][0].ran.borrow().len();
    for i in 0..10 {
        let answer = gateway.get(&format!("{READ}{i}"), &format!("r{i}")).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    assert_eq!(site.shards[0][0].ran.borrow().len(), ran_before);
    // A late report with a lower sequence number doesn't make it ready again.
    site.report(0, 0, "ready", 1);
    site.store.delete("servers/u-0-1");
    compio::time::sleep(PROPAGATION).await;
    let refused = gateway.get(&format!("{READ}1"), "last").await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(site.runs("last"), 0);
}

#[compio::test]
async fn a_change_is_in_force_after_the_store_compacted_its_history() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    site::put(&site.store, "servers/foreign", &json!({ "state": 7 }));
    let mut configuration = site::configuration(SHARDS, 2);
    configuration["routes"][1]["prefix"] = json!("/moved/");
    site::put(&site.store, "op/config", &configuration);
    site.store.compact();
    let is_moved = async || gateway.get("/moved/1", "r1").await.status() == StatusCode::OK;
    wait_until("the change is in force", PROPAGATION, is_moved).await;
    let old = gateway.get(&format!("{READ}1"), "r2").await;
    assert_eq!(old.status(), StatusCode::NOT_FOUND);
    // An unreadable configuration changes nothing.
    site::put(&site.store, "op/config", &json!({ "version": 3 }));
    compio::time::sleep(PROPAGATION).await;
    assert!(is_moved().await);
}

#[compio::test]
async fn without_the_store_a_daemon_gets_the_directory_from_its_peers() {
    let site = start_site().await;
    let first = ready(&site).await;
    site.store.is_down.set(true);
    let answer = first.get(&format!("{SEARCH}1"), "r1").await;
    assert_eq!(answer.status(), StatusCode::OK);
    let second = start_gateway(&site, &[first.endpoints]).await;
    let early = second.get(&format!("{SEARCH}1"), "r2").await;
    assert_eq!(early.status(), StatusCode::SERVICE_UNAVAILABLE);
    wait_until("the second is ready", Duration::from_secs(5), async || {
        second.is_ready().await
    })
    .await;
    let answer = second.get(&format!("{SEARCH}1"), "r3").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

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
async fn a_search_is_cancelled_when_its_caller_disconnects() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    for upstream in site.shards.iter().flatten() {
        upstream.service_time.set(Millis(3_000));
    }
    let endpoints = gateway.endpoints;
    let request = Request::get(format!("{SEARCH}1"))
        .header("host", HOST)
        .header("request-id", "r1")
        .header("deadline-milliseconds", "2500")
        .body(Payload::default())
        .unwrap();
    let sent = transport::request(
        endpoints.callers(),
        request,
        ANSWER_LIMIT_BYTES,
        Millis(100),
    );
    assert!(sent.await.is_err(), "the caller disconnects after 100 ms");
    let running = site.runs("r1");
    assert!(running >= SHARDS, "{running}");
    let cancelled = || -> usize {
        let all = site.shards.iter().flatten();
        all.map(|u| u.cancelled.get()).sum()
    };
    wait_until(
        "all sends are cancelled",
        Duration::from_millis(500),
        async || cancelled() == running,
    )
    .await;
}

#[compio::test]
async fn a_log_that_nobody_reads_delays_no_answer() {
    const REQUESTS: usize = 2_500;
    let site = start_site().await;
    let endpoints = unused_endpoints();
    let settings = site::settings("deaf", endpoints, site.store_address, &[]);
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
