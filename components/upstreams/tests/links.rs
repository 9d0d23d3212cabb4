//! When a daemon checks its own links, with plain numbers.

use clock::Millis;
use rstest::rstest;
use upstreams::Links;

const NOW: Millis = Millis(100_000);

fn waiting(ages: &[u64]) -> impl Iterator<Item = Millis> {
    ages.iter().map(|age| NOW.since(Millis(*age)))
}

#[rstest]
#[case::nothing_sent(&[], false)]
#[case::one_slow_upstream(&[900], false)]
#[case::requests_just_sent(&[100, 120, 20], false)]
#[case::several_upstreams_without_an_answer(&[300, 200], true)]
fn silence_of_several_upstreams_is_a_reason(#[case] ages: &[u64], #[case] expected: bool) {
    let links = Links::default();
    assert_eq!(links.needs_check(waiting(ages), NOW), expected);
}

#[test]
fn slow_upstreams_are_none_while_another_one_answers() {
    let links = Links::default();
    links.record_answer(NOW.since(Millis(50)));
    assert!(!links.needs_check(waiting(&[800, 900, 700]), NOW));
}

#[test]
fn refused_connections_of_several_upstreams_are_a_reason_for_a_second() {
    let links = Links::default();
    links.record_answer(NOW);
    for upstream in ["a", "a", "b"] {
        links.record_failure(upstream, NOW);
    }
    assert!(!links.needs_check(waiting(&[]), NOW));
    links.record_failure("c", NOW);
    assert!(links.needs_check(waiting(&[]), NOW));
    assert!(!links.needs_check(waiting(&[]), NOW + Millis(2_000)));
}

/// A daemon may send to one service with few upstreams only.
#[test]
fn one_refused_connection_is_a_reason_while_nobody_answers() {
    let links = Links::default();
    links.record_failure("a", NOW);
    assert!(links.needs_check(waiting(&[]), NOW));
    links.record_answer(NOW);
    assert!(!links.needs_check(waiting(&[]), NOW));
}

#[test]
fn a_check_that_reaches_an_upstream_ends_the_suspicion_for_a_while() {
    let links = Links::default();
    assert!(!links.record_check(true, NOW.since(Millis(100))));
    assert!(!links.needs_check(waiting(&[900, 900]), NOW));
    assert!(links.needs_check(waiting(&[900, 900]), NOW + Millis(500)));
}

#[compio::test]
async fn the_loss_wakes_those_that_wait_each_time() {
    let links = Links::default();
    for _ in 0..2 {
        assert!(links.record_check(false, NOW));
        assert!(!links.record_check(false, NOW));
        assert!(links.are_cut());
        links.wait_for_loss().await;
        assert!(links.record_check(true, NOW));
        assert!(!links.are_cut());
        let waiting = compio::time::timeout(Millis(20).into(), links.wait_for_loss());
        assert!(waiting.await.is_err(), "woken without a loss");
    }
}
