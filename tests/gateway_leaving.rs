//! Upstreams whose answers say that they are leaving. Real processes run against a
//! stand-in store and upstreams.

use std::time::{Duration, Instant};

use clock::Millis;
use http::StatusCode;
use rstest::rstest;
use standins::platform::gateway::{Gateway, PROPAGATION, ready};
use standins::platform::site::{READ, Site, WRITE, start_site};
use standins::platform::upstream::Mode;

const STARTED: u64 = 1_770_000_000_000;
const RESTARTED: u64 = STARTED + 60_000;
const REQUESTS: usize = 10;
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Sends reads, and returns how many of them the upstream ran.
async fn runs_of_first(site: &Site, gateway: &Gateway, name: &str) -> usize {
    let first = &site.shards[0][0];
    let before = first.ran.borrow().len();
    for n in 0..REQUESTS {
        let id = format!("{name}-{n}");
        let answer = gateway.get(&format!("{READ}{id}"), &id).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    first.ran.borrow().len() - before
}

/// Lets the first upstream of the first shard alone answer one request, and leave
/// with that answer.
async fn leave_with_an_answer(site: &Site, gateway: &Gateway, mode: &Mode, prefix: &str) {
    let (first, second) = (&site.shards[0][0], &site.shards[0][1]);
    *first.mode.borrow_mut() = mode.clone();
    first.is_leaving.set(true);
    // A read that is not run elsewhere reaches the first upstream.
    *second.mode.borrow_mut() = Mode::NotRun;
    for n in 0..REQUESTS {
        let path = format!("{prefix}{n}");
        let answer = gateway.get(&path, &format!("leave-{n}")).await;
        let has_header = answer.headers().contains_key("server-leaving");
        if has_header || first.refused.get() > 0 || !first.ran.borrow().is_empty() {
            break;
        }
    }
    *first.mode.borrow_mut() = Mode::Normal;
    *second.mode.borrow_mut() = Mode::Normal;
}

#[rstest]
#[case::success(Mode::Normal, READ)]
#[case::failure(Mode::Failing, READ)]
#[case::not_run(Mode::NotRun, READ)]
#[case::failure_of_a_write(Mode::Failing, WRITE)]
#[compio::test]
async fn nothing_is_sent_to_an_upstream_after_an_answer_that_it_is_leaving(
    #[case] mode: Mode,
    #[case] prefix: &str,
) {
    let site = start_site().await;
    site.report_start(0, 0, "ready", 2, Some(STARTED));
    let gateway = ready(&site).await;
    leave_with_an_answer(&site, &gateway, &mode, prefix).await;
    assert_eq!(runs_of_first(&site, &gateway, "known").await, 0);
    // The store still calls it up, is away, or repeats the report.
    site.store.is_down.set(true);
    assert_eq!(runs_of_first(&site, &gateway, "away").await, 0);
    site.store.is_down.set(false);
    site.report_start(0, 0, "ready", 3, Some(STARTED));
    compio::time::sleep(PROPAGATION).await;
    assert_eq!(runs_of_first(&site, &gateway, "repeated").await, 0);
    site.store
        .delete(&format!("servers/{}", site.shards[0][0].id));
    compio::time::sleep(PROPAGATION).await;
    site.report_start(0, 0, "ready", 4, Some(STARTED));
    compio::time::sleep(PROPAGATION).await;
    assert_eq!(runs_of_first(&site, &gateway, "returned").await, 0);
    // Another process has nothing to do with it.
    site.shards[0][0].is_leaving.set(false);
    site.report_start(0, 0, "ready", 1, Some(RESTARTED));
    compio::time::sleep(PROPAGATION).await;
    assert!(runs_of_first(&site, &gateway, "restarted").await > 0);
}

#[compio::test]
async fn requests_are_refused_at_once_when_all_upstreams_of_a_service_leave() {
    let site = start_site().await;
    let gateway = ready(&site).await;
    for upstream in &site.shards[0] {
        upstream.is_leaving.set(true);
    }
    for n in 0..REQUESTS {
        gateway.get(&format!("{READ}{n}"), &format!("r{n}")).await;
    }
    let started = Instant::now();
    let answer = gateway.get(&format!("{READ}last"), "last").await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
    assert_eq!(site.runs("last"), 0);
    let retry_after: f64 = answer.headers()["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    let soonest = Millis(200).0 as f64 / 1_000.0;
    assert!(
        retry_after >= soonest,
        "{retry_after}: no upstream starts sooner"
    );
}
