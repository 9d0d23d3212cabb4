//! Which daemon runs a search where the processors of the daemons differ, and how the
//! daemons share connections and budgets then.
//!
//! The load is that of a site with 111 daemons, six of which have half a core and the
//! others a twelfth of one: a search over 54 shards takes 8 ms of processor time, so that
//! a small daemon alone would miss an objective of 60 ms.

use std::net::SocketAddr;

use clock::Millis;
use discovery::InstanceEntry;
use gateway::{
    answer_time, connection_share, delegates, equal_daemons, large_daemons, share_before,
    token_limit,
};
use rstest::rstest;

const LARGE: u32 = 500;
const SMALL: u32 = 84;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + number))
}

fn instance(number: u16, domain: &str, millicores: u32) -> InstanceEntry {
    InstanceEntry {
        name: format!("i-{number}"),
        address: address(number),
        domain: domain.to_owned(),
        millicores,
    }
}

/// Two large and 35 small daemons in each of three failure domains.
fn site() -> Vec<InstanceEntry> {
    let mut all = Vec::new();
    for domain in ["a", "b", "c"] {
        for n in 0..37 {
            let millicores = if n < 2 { LARGE } else { SMALL };
            all.push(instance(all.len() as u16, domain, millicores));
        }
    }
    all
}

#[test]
fn a_small_daemon_hands_searches_to_the_large_ones_of_its_domain() {
    let all = site();
    assert_eq!(delegates(all.iter(), &all[50]), [address(37), address(38)]);
}

#[test]
fn a_large_daemon_runs_its_searches_itself() {
    assert!(delegates(site().iter(), &site()[0]).is_empty());
}

#[test]
fn large_daemons_elsewhere_are_used_if_the_domain_has_none() {
    let mut all = site();
    all.retain(|i| i.domain != "b" || i.millicores == SMALL);
    let expected = [0, 1, 74, 75].map(address);
    assert_eq!(delegates(all.iter(), &all[50]), expected);
}

// The hand-over costs more than such a gain is worth, and equal daemons would hand
// searches around.
#[rstest]
#[case::equal(250, 250)]
#[case::small_gain(120, 200)]
#[case::own_processor_unknown(0, 500)]
#[case::older_daemon(120, 0)]
fn daemons_without_a_much_larger_processor_get_no_searches(#[case] own: u32, #[case] other: u32) {
    let all = [instance(0, "a", own), instance(1, "a", other)];
    assert!(delegates(all.iter(), &all[0]).is_empty());
}

// After a loss of power all daemons register again, and until then a small one would run
// the searches of the worst seconds itself.
#[test]
fn a_daemon_that_is_not_registered_yet_hands_searches_over() {
    let own = instance(999, "b", SMALL);
    assert_eq!(delegates(site().iter(), &own), [address(37), address(38)]);
}

// With equal shares a large daemon would have one connection to each upstream for the
// searches of eighteen others.
#[test]
fn shares_follow_the_processors_and_add_up_to_the_whole() {
    let all = site();
    let daemons = |n: usize| equal_daemons(all.iter(), all[n].address);
    let parts: f64 = (0..all.len()).map(|n| 1.0 / daemons(n)).sum();
    assert!((parts - 1.0).abs() < 1e-9, "{parts}");
    assert_eq!(connection_share(106, daemons(0)), 4);
    assert_eq!(connection_share(106, daemons(5)), 1);
    assert!(token_limit(285.0, daemons(0)) > 10.0);
    let saved: f64 = (0..all.len()).map(|n| token_limit(285.0, daemons(n))).sum();
    assert!(saved <= 285.0, "{saved}");
}

// Gaps between the shares would waste tokens of cold upstreams, and overlaps exceed their
// rates.
#[rstest]
#[case::large_and_small(site())]
#[case::some_unknown((0..9).map(|n| instance(n, "a", u32::from(n % 3) * 50)).collect())]
#[case::all_unknown((0..9).map(|n| instance(n, "a", 0)).collect())]
fn the_shares_lie_side_by_side(#[case] all: Vec<InstanceEntry>) {
    let mut end = 0.0;
    for own in &all {
        let start = share_before(all.iter(), own.address);
        assert!((start - end).abs() < 1e-9, "{start} after {end}");
        end = start + 1.0 / equal_daemons(all.iter(), own.address);
    }
    assert!((end - 1.0).abs() < 1e-9, "{end}");
}

#[rstest]
#[case::equal(&[250; 7])]
#[case::unknown(&[0; 7])]
#[case::own_unknown(&[0, 500, 84, 84, 84, 84, 84])]
#[case::older_daemon(&[500, 0, 84, 84, 84, 84, 84])]
fn equal_or_unknown_processors_get_equal_shares(#[case] millicores: &[u32]) {
    let all = (0..).zip(millicores).map(|(n, m)| instance(n, "a", *m));
    let all: Vec<InstanceEntry> = all.collect();
    assert_eq!(equal_daemons(all.iter(), address(0)), 7.0);
}

#[rstest]
#[case::unknown(0, Millis::ZERO)]
#[case::smallest(1, Millis(10))]
#[case::small(SMALL, Millis(4))]
#[case::large(LARGE, Millis::ZERO)]
fn the_way_back_takes_longer_on_a_small_processor(
    #[case] millicores: u32,
    #[case] expected: Millis,
) {
    assert_eq!(answer_time(millicores), expected);
}

// An allocator of quotas answers messages of all daemons: on a twelfth of a core those of a
// workspace with callers everywhere would take most of its time.
#[test]
fn what_one_daemon_does_for_all_is_done_by_large_ones() {
    let all = site();
    let large = large_daemons(all.iter());
    assert_eq!(large.len(), 6);
    assert!(large.iter().all(|i| i.millicores == LARGE));
}

#[rstest]
#[case::equal(&[250; 7], 7)]
#[case::unknown(&[0; 7], 7)]
#[case::similar(&[250, 200, 130, 126], 4)]
#[case::older_daemons(&[500, 0, 0], 1)]
#[case::none(&[], 0)]
fn daemons_with_similar_or_unknown_processors_are_all_large(
    #[case] millicores: &[u32],
    #[case] expected: usize,
) {
    let all = (0..).zip(millicores).map(|(n, m)| instance(n, "a", *m));
    let all: Vec<InstanceEntry> = all.collect();
    assert_eq!(large_daemons(all.iter()).len(), expected);
}
