//! Open connections to the store go silent, while new ones work. Real processes run
//! against a stand-in store and upstreams.

use std::time::Duration;

use clock::Millis;
use http::StatusCode;
use rstest::rstest;
use standins::fleet::wait_until;
use standins::platform::gateway::{PROPAGATION, start_gateway_at};
use standins::platform::silent_link::SilentLink;
use standins::platform::site::{READ, start_site};

/// The record of an upstream is deleted this long after the connections went silent.
const DELETION_DELAY: Duration = Duration::from_millis(300);
/// Nothing reaches the upstream later than this after the silence began.
const STABLE_WINDOW: Millis = Millis(4_000);
const REQUESTS: usize = 40;

/// Guards against a daemon's own silent connection counting as an outage of the store, after
/// which records that are missing stay in use for a while.
#[rstest]
#[case::early_in_a_watch(0)]
#[case::late_in_a_watch(350)]
#[case::early_between_watches(700)]
#[case::late_between_watches(1_050)]
#[compio::test]
async fn an_upstream_that_left_during_a_silence_is_not_used(#[case] phase_ms: u64) {
    let site = start_site().await;
    let link = SilentLink::start(site.store_address).await.unwrap();
    let gateway = start_gateway_at(link.address, &[]).await;
    wait_until("the gateway is ready", PROPAGATION, async || {
        gateway.is_ready().await
    })
    .await;
    compio::time::sleep(Duration::from_secs(1) + Duration::from_millis(phase_ms)).await;
    link.silence();
    let silent_at = Millis::now();
    compio::time::sleep(DELETION_DELAY).await;
    let left = &site.shards[0][0];
    site.store.delete(&format!("servers/{}", left.id));
    let rest = (silent_at + STABLE_WINDOW).since(Millis::now());
    compio::time::sleep(rest.into()).await;
    let before = left.arrivals.borrow().len();
    for n in 0..REQUESTS {
        let answer = gateway.get(&format!("{READ}{n}"), &format!("r-{n}")).await;
        assert_eq!(answer.status(), StatusCode::OK);
    }
    let late = left.arrivals.borrow().len() - before;
    assert_eq!(
        late, 0,
        "{late} of {REQUESTS} requests reached the upstream"
    );
}
