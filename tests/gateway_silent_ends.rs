//! Upstreams that fall silent while they run a request: they send nothing, and new
//! connections to them get no answer or are refused. Real processes run against a stand-in
//! store and upstreams.

use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use compio::runtime::JoinHandle;
use http::{Request, Response};
use rstest::rstest;
use standins::platform::crash_load::{
    Harmless, is_quarantined, print_logs, start_gateways, try_send,
};
use standins::platform::crash_site::CrashSite;
use standins::platform::gateway::{Gateway, TIMEOUT};
use standins::platform::site::{READ, SEARCH};
use standins::platform::upstream::{CRASHING, Ending};
use transport::Payload;

/// A machine counts as undisturbed after this time (`stable-window-ms`).
const STABLE_WINDOW: Millis = Millis(4_000);
/// Requests that end upstreams and may reach one after that.
const LATE_REQUESTS: usize = 3;
/// Upstreams of the whole site.
const UPSTREAMS: usize = 16;
const CRASH_INTERVAL: Millis = Millis(550);
const RUN_TIME: Millis = Millis(12_000);
/// Callers that leave before the upstream ends do so after this time.
const SHORT_PATIENCE: Millis = Millis(50);
/// Interval of requests that are all alike, at each gateway.
const ALIKE_INTERVAL: Millis = Millis(30);
/// Upstreams that are lost at once, and how often.
const LOST: usize = 6;
const LOSSES: usize = 2;
/// Longer than such upstreams are away.
const LOSS_INTERVAL: Millis = Millis(5_000);
const WARM_UP: Millis = Millis(2_000);
/// Longer than callers wait.
const SLOW: Millis = Millis(2_500);

/// Sends the request that ends upstreams to the gateways in turn, without waiting for the
/// answers; returns the last one.
async fn send_crashing(
    gateways: &[Gateway],
    path: &str,
    patience: Millis,
) -> Option<Response<Bytes>> {
    let begin = Millis::now();
    let mut calls = Vec::new();
    for gateway in gateways.iter().cycle() {
        if Millis::now().since(begin) > RUN_TIME {
            break;
        }
        let (address, id) = (gateway.endpoints.callers(), format!("c-{}", calls.len()));
        let request = Request::get(path).body(Payload::default()).unwrap();
        calls.push(compio::runtime::spawn(async move {
            try_send(address, request, &id, patience).await
        }));
        compio::time::sleep(CRASH_INTERVAL.into()).await;
    }
    let mut last = None;
    for call in calls {
        last = call.await.ok().flatten().or(last);
    }
    last
}

fn assert_none_quarantined(harmless: &Harmless) {
    println!(
        "harmless: {} sent, {} answered",
        harmless.sent.get(),
        harmless.answered.get()
    );
    let refused = harmless.quarantined.borrow();
    assert!(refused.is_empty(), "harmless requests refused: {refused:?}");
}

/// Guards against a request that ends upstreams reaching more and more of them because they
/// close no connection when they end.
#[rstest]
#[case::one_gateway(1, 1, Ending::Silent, TIMEOUT)]
#[case::three_gateways(3, 1, Ending::Silent, TIMEOUT)]
#[case::seven_gateways(7, 1, Ending::Silent, TIMEOUT)]
#[case::refusing(3, 1, Ending::SilentRefused, TIMEOUT)]
#[case::restarted_at_once(3, 1, Ending::Restarted, TIMEOUT)]
#[case::search(3, 4, Ending::Silent, TIMEOUT)]
#[case::callers_left(3, 1, Ending::Silent, SHORT_PATIENCE)]
#[compio::test]
async fn a_request_that_silences_upstreams_is_quarantined(
    #[case] gateways: usize,
    #[case] shards: usize,
    #[case] ending: Ending,
    #[case] patience: Millis,
) {
    let site = CrashSite::start(shards, UPSTREAMS / shards).await;
    site.log.ending.set(ending);
    site.log.outlives_callers.set(true);
    let gateways = start_gateways(&site, gateways).await;
    let prefix = match shards {
        1 => READ,
        _ => SEARCH,
    };
    let harmless = Rc::new(Harmless::default());
    let load = harmless.start(&gateways, prefix);
    let last = send_crashing(&gateways, &format!("{prefix}{CRASHING}"), patience).await;
    drop(load);
    let late = site.log.late_requests(STABLE_WINDOW);
    let (ends, arrivals) = (
        site.log.ends.borrow().len(),
        site.log.arrivals.borrow().len(),
    );
    println!("{ends} ends, {arrivals} sends, {late} late requests");
    print_logs(&gateways);
    assert!(ends >= 3, "{ends} ends");
    assert!(late <= LATE_REQUESTS, "{late} late requests");
    assert!(last.as_ref().is_some_and(is_quarantined), "{last:?}");
    assert_none_quarantined(&harmless);
}

/// Guards against quarantining a request because the upstreams that run it are cut off, one
/// after the other: the same processes are back afterwards.
#[rstest]
#[case::read(1, READ)]
#[case::search(4, SEARCH)]
#[compio::test]
async fn a_request_whose_upstreams_are_cut_off_is_not_quarantined(
    #[case] shards: usize,
    #[case] prefix: &str,
) {
    let site = CrashSite::start(shards, UPSTREAMS / shards).await;
    site.log.ending.set(Ending::CutOff);
    let gateways = start_gateways(&site, 3).await;
    let harmless = Rc::new(Harmless::default());
    let load = harmless.start(&gateways, prefix);
    let path = format!("{prefix}{CRASHING}");
    let last = send_crashing(&gateways, &path, TIMEOUT).await;
    drop(load);
    println!("{} silences", site.log.ends.borrow().len());
    print_logs(&gateways);
    assert!(site.log.ends.borrow().len() >= 3);
    assert!(!last.as_ref().is_some_and(is_quarantined), "{last:?}");
    assert_none_quarantined(&harmless);
}

/// Sends one path to all gateways, so that many requests alike run at any time.
fn send_alike(gateways: &[Gateway], harmless: &Rc<Harmless>) -> Vec<JoinHandle<()>> {
    let addresses = gateways.iter().map(|g| g.endpoints.callers());
    let send = |address| {
        let harmless = harmless.clone();
        compio::runtime::spawn(async move {
            for n in 0.. {
                compio::time::sleep(ALIKE_INTERVAL.into()).await;
                let harmless = harmless.clone();
                compio::runtime::spawn(async move {
                    let path = format!("{READ}alike");
                    harmless
                        .send(address, &path, &format!("a-{address}-{n}"))
                        .await;
                })
                .detach();
            }
        })
    };
    addresses.map(send).collect()
}

/// Guards against quarantining requests because many upstreams lose their power at once, and
/// are back as other processes.
#[rstest]
#[case::silent(Ending::Silent)]
#[case::cut_off(Ending::CutOff)]
#[compio::test]
async fn requests_of_upstreams_lost_at_once_are_not_quarantined(#[case] ending: Ending) {
    let site = CrashSite::start(1, UPSTREAMS).await;
    site.log.ending.set(ending);
    let gateways = start_gateways(&site, 3).await;
    let harmless = Rc::new(Harmless::default());
    let load = [
        harmless.start(&gateways, READ),
        send_alike(&gateways, &harmless),
    ];
    for _ in 0..LOSSES {
        compio::time::sleep(LOSS_INTERVAL.into()).await;
        let lost = site.upstreams().into_iter().take(LOST);
        lost.for_each(|u| u.crash.borrow().set());
    }
    compio::time::sleep(LOSS_INTERVAL.into()).await;
    drop(load);
    print_logs(&gateways);
    assert_eq!(site.log.ends.borrow().len(), LOST * LOSSES);
    assert_none_quarantined(&harmless);
}

/// Guards against taking slow upstreams for silent ones.
#[compio::test]
async fn slow_upstreams_are_not_silent() {
    let site = CrashSite::start(1, UPSTREAMS).await;
    let gateways = start_gateways(&site, 3).await;
    let harmless = Rc::new(Harmless::default());
    let load = harmless.start(&gateways, READ);
    compio::time::sleep(WARM_UP.into()).await;
    let slow = site.upstreams().into_iter().take(LOST);
    slow.for_each(|u| u.service_time.set(SLOW));
    compio::time::sleep(LOSS_INTERVAL.into()).await;
    drop(load);
    for gateway in &gateways {
        let metrics = gateway.metrics("/metrics").await;
        let is_silent = metrics.contains("coltsfootgw_silent_upstreams_total");
        assert!(!is_silent, "{metrics}");
    }
    print_logs(&gateways);
    assert_none_quarantined(&harmless);
}
