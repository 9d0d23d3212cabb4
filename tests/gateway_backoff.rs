//! Upstreams that refuse requests and want none for a while. Real processes run
//! against a stand-in store and upstreams.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use standins::platform::gateway::{Gateway, ready, retry_after_s};
use standins::platform::site::{READ, SEARCH, Site, start_site};
use standins::platform::upstream::Mode;

const BACKOFF: Duration = Duration::from_secs(3);
/// Requests that may still arrive this long after the answer.
const GRACE: Duration = Duration::from_millis(500);
const REFUSAL_TIME: Duration = Duration::from_millis(100);
const INTERVAL: Duration = Duration::from_millis(20);

fn refused(site: &Site) -> usize {
    site.shards[0].iter().map(|u| u.refused.get()).sum()
}

/// Sends reads for a time, several at once; returns the answers other than 200.
async fn read_for(
    gateway: &Gateway,
    name: &str,
    time: Duration,
) -> Vec<http::Response<bytes::Bytes>> {
    let (begin, mut failed) = (Instant::now(), Vec::new());
    for n in 0.. {
        if begin.elapsed() > time {
            break;
        }
        let ids: Vec<String> = (0..4).map(|i| format!("{name}-{n}-{i}")).collect();
        let paths: Vec<String> = ids.iter().map(|id| format!("{READ}{id}")).collect();
        let sent = ids
            .iter()
            .zip(&paths)
            .map(|(id, path)| gateway.get(path, id));
        let answers = join_all(sent).await.into_iter();
        failed.extend(answers.filter(|a| a.status() != StatusCode::OK));
        compio::time::sleep(INTERVAL).await;
    }
    failed
}

#[compio::test]
async fn an_upstream_that_asks_for_it_gets_nothing_until_its_time_has_passed() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    let first = &site.shards[0][0];
    *first.mode.borrow_mut() = Mode::BackOff(BACKOFF.as_secs().to_string());
    read_for(&gateway, "begin", GRACE).await;
    let asked = Instant::now() - GRACE;
    let before = first.refused.get();
    assert!(before > 0, "the upstream was asked");
    let failed = read_for(&gateway, "quiet", BACKOFF - GRACE - GRACE).await;
    assert_eq!(
        first.refused.get(),
        before,
        "sent after {:?}",
        asked.elapsed()
    );
    assert!(failed.is_empty(), "the other upstream serves: {failed:?}");
    *first.mode.borrow_mut() = Mode::Normal;
    read_for(&gateway, "end", GRACE + GRACE + GRACE).await;
    assert!(!first.ran.borrow().is_empty(), "it gets requests again");
}

#[compio::test]
async fn callers_are_refused_at_once_when_no_upstream_wants_requests() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    for (upstream, seconds) in site.shards[0].iter().zip(["4", "2.5"]) {
        *upstream.mode.borrow_mut() = Mode::BackOff(seconds.to_owned());
    }
    read_for(&gateway, "begin", GRACE).await;
    let before = refused(&site);
    let begin = Instant::now();
    let answer = gateway.get(&format!("{READ}last"), "last").await;
    assert!(begin.elapsed() < REFUSAL_TIME, "{:?}", begin.elapsed());
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = retry_after_s(&answer).expect("the refusal says when to retry");
    // The soonest is 2.5 s after an answer that is up to 0.6 s old.
    assert!((1.5..3.2).contains(&retry_after), "{retry_after}");
    read_for(&gateway, "quiet", GRACE).await;
    assert_eq!(refused(&site), before);
}

/// Three of four shards are enough: the search may come back when the first of the
/// two missing ones takes requests.
#[compio::test]
async fn a_search_waits_only_for_the_shards_that_it_needs() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    for (shard, seconds) in [(0, "3"), (1, "60")] {
        site.set_mode(shard, &Mode::BackOff(seconds.to_owned()));
    }
    let mut retry_after = f64::MAX;
    for n in 0..10 {
        let answer = gateway.get(&format!("{SEARCH}1"), &format!("s-{n}")).await;
        assert_ne!(answer.status(), StatusCode::OK);
        retry_after = retry_after_s(&answer).expect("the refusal says when to retry");
    }
    assert!((1.0..4.0).contains(&retry_after), "{retry_after}");
}

#[rstest]
#[case::a_date("Fri, 04 Dec 2026 08:00:00 GMT")]
#[case::garbage("soon")]
#[case::negative("-3")]
#[compio::test]
async fn a_time_that_is_no_number_of_seconds_means_none(#[case] value: &str) {
    let site = start_site().await;
    let gateway = ready(&site).await;
    let first = &site.shards[0][0];
    *first.mode.borrow_mut() = Mode::BackOff(value.to_owned());
    read_for(&gateway, "begin", GRACE).await;
    *first.mode.borrow_mut() = Mode::Normal;
    read_for(&gateway, "then", GRACE).await;
    assert!(!first.ran.borrow().is_empty());
}
