//! How a gateway answers requests on the platform: searches, requests sent again,
//! and errors. Real processes run against a stand-in store and upstreams.

use std::time::{Duration, Instant};

use bytes::Bytes;
use clock::Millis;
use http::{HeaderMap, Method, Request, StatusCode};
use rstest::rstest;
use standins::fleet::wait_until;
use standins::platform::gateway::{ANSWER_LIMIT_BYTES, PROPAGATION, ready};
use standins::platform::site::{HOST, READ, SEARCH, SHARDS, WRITE, start_site};
use standins::platform::upstream::Mode;
use transport::Payload;

const RECORD_BYTES: usize = 16;
/// Requests that earn a retry for each of the four that follow, 0.18 of one each.
const EARNING_REQUESTS: usize = 24;

/// Requests that are sent until one of them reaches a certain replica.
const MOST_REQUESTS: usize = 20;

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
    for i in 0..EARNING_REQUESTS {
        let (path, id) = (format!("{READ}{i}"), format!("earn-{i}"));
        assert_eq!(gateway.get(&path, &id).await.status(), StatusCode::OK);
    }
    // Either replica may be preferred, so each answers this way in turn, until one of
    // the requests has reached it.
    let mut outcomes = Vec::new();
    for (at, upstream) in site.shards[0].iter().enumerate() {
        *upstream.mode.borrow_mut() = mode.clone();
        for i in 0..MOST_REQUESTS {
            let (path, id) = (format!("{prefix}x"), format!("r{at}-{i}"));
            let sent = gateway.send(Method::POST, &path, &id, Bytes::from("body"));
            outcomes.push((sent.await.status(), site.runs(&id)));
            if i > 0 && outcomes.contains(&(status, runs)) {
                break;
            }
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
    // The budget starts empty and gains 0.2 with each request.
    const RETRY_TOKENS: usize = REQUESTS / 5;
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

/// What keeps requests from being answered for a while.
#[derive(Clone, Copy, Debug)]
enum Fault {
    WrongAnswers,
    NoUpstreams,
}

/// Upstreams that fail fast, or are away, are no sign of an overload.
#[rstest]
#[case::wrong_answers(READ, Fault::WrongAnswers)]
#[case::wrong_answers_to_searches(SEARCH, Fault::WrongAnswers)]
#[case::no_upstreams(READ, Fault::NoUpstreams)]
#[case::searches_without_upstreams(SEARCH, Fault::NoUpstreams)]
#[compio::test]
async fn failures_without_load_do_not_lower_the_limit_of_a_route(
    #[case] prefix: &str,
    #[case] fault: Fault,
) {
    const FAILURES: usize = 60;
    const AT_ONCE: usize = 20;
    let site = start_site().await;
    let gateway = ready(&site).await;
    let set_fault = async |mode: Mode, state: &str, seq: u64| {
        for shard in 0..SHARDS {
            match fault {
                Fault::WrongAnswers => site.set_mode(shard, &mode),
                Fault::NoUpstreams => (0..2).for_each(|r| site.report(shard, r, state, seq)),
            }
        }
        compio::time::sleep(PROPAGATION).await;
    };
    set_fault(Mode::WrongId, "draining", 2).await;
    for n in 0..FAILURES {
        gateway
            .get(&format!("{prefix}{n}"), &format!("f-{n}"))
            .await;
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    set_fault(Mode::Normal, "ready", 3).await;
    let ids: Vec<String> = (0..AT_ONCE).map(|n| format!("n-{n}")).collect();
    let path = format!("{prefix}1");
    let sent = ids.iter().map(|id| gateway.get(&path, id));
    let answers = futures_util::future::join_all(sent).await;
    let is_limited = |a: &&http::Response<bytes::Bytes>| a.body().ends_with(b"is reached\n");
    let limited = answers.iter().filter(is_limited).count();
    assert_eq!(limited, 0, "{answers:?}");
}
