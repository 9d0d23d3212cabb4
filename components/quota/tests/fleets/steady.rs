//! Fleets of daemons that share the quota of one workspace, simulated: the rule is kept in
//! every window, and what is within the quota is admitted.

use rand::RngExt;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::fleet::Fleet;
use crate::rule::{admitted_share, assert_rule};

/// Demand is stable for a window from its change on before its requests are counted.
const WINDOW_MS: u64 = 5_000;
const RUN_MS: u64 = 25_000;
const ADMITTED_SHARE: f64 = 0.95;

/// How requests are spread over the daemons.
#[derive(Clone, Copy, Debug)]
enum Spread {
    Even,
    /// Nine of ten requests reach one daemon.
    Skewed,
    /// All requests reach one daemon, and after each 8 s another one.
    Moving,
}

impl Spread {
    fn daemon(self, count: usize, now: u64, rng: &mut StdRng) -> usize {
        match self {
            Spread::Even => rng.random_range(0..count),
            Spread::Skewed if rng.random::<f64>() < 0.9 => 1,
            Spread::Skewed => rng.random_range(0..count),
            Spread::Moving => (now / 8_000) as usize * 2 % count,
        }
    }
}

/// Returns requests at a mean rate.
fn demand(
    count: usize,
    spread: Spread,
    per_second: f64,
) -> impl FnMut(u64, &mut StdRng) -> Vec<usize> {
    move |now, rng| match rng.random::<f64>() < per_second / 1_000.0 {
        true => vec![spread.daemon(count, now, rng)],
        false => Vec::new(),
    }
}

#[rstest]
fn a_fleet_admits_what_the_quota_allows_and_no_more(
    #[values(7, 82, 402)] count: usize,
    #[values(Spread::Even, Spread::Skewed, Spread::Moving)] spread: Spread,
    #[values((1.0, 1.0), (5.0, 10.0), (30.0, 60.0), (100.0, 50.0))] quota: (f64, f64),
    #[values(0.8, 1.0, 6.0)] factor: f64,
) {
    let mut fleet = Fleet::new(count, quota.0, quota.1, count as u64);
    let mut arrivals = demand(count, spread, quota.0 * factor);
    fleet.run(RUN_MS, &mut arrivals);
    let share = admitted_share(&fleet.admitted, &fleet.offered, quota, WINDOW_MS);
    println!(
        "share {share:.3}, {} of {} waited, {} messages",
        fleet.waited,
        fleet.offered.len(),
        fleet.messages
    );
    assert_rule(&fleet.admitted, quota.0, quota.1);
    assert!(share >= ADMITTED_SHARE, "{share}");
}

/// A quota of one request a second must not be split into parts that never hold a whole
/// token.
#[rstest]
fn a_small_quota_serves_each_request_wherever_it_arrives(#[values(3, 82)] count: usize) {
    let quota = (1.0, 1.0);
    let mut fleet = Fleet::new(count, quota.0, quota.1, 5);
    let mut arrivals = |now: u64, _: &mut StdRng| match now % 1_000 {
        0 => vec![(now / 1_000) as usize % count],
        _ => Vec::new(),
    };
    fleet.run(60_000, &mut arrivals);
    assert_eq!(fleet.admitted.len(), fleet.offered.len());
}

/// Tokens are held ahead, so that requests of steady demand don't wait for a message.
#[rstest]
#[case::one_daemon(1, 0.05)]
#[case::three_daemons(3, 0.1)]
fn steady_demand_finds_tokens_ahead(#[case] callers: usize, #[case] waiting: f64) {
    let mut fleet = Fleet::new(82, 20.0, 40.0, 7);
    let mut arrivals = demand(callers, Spread::Even, 10.0);
    fleet.run(WINDOW_MS, &mut arrivals);
    let (waited, offered) = (fleet.waited, fleet.offered.len());
    fleet.run(RUN_MS, &mut arrivals);
    let share = (fleet.waited - waited) as f64 / (fleet.offered.len() - offered) as f64;
    assert!(share <= waiting, "{share} of the requests waited");
}

/// A burst that the quota allows is admitted with one question, not one for each token.
#[test]
fn a_burst_within_the_quota_is_admitted_at_once() {
    let mut fleet = Fleet::new(82, 20.0, 40.0, 3);
    let mut burst = |now: u64, _: &mut StdRng| match now {
        10_000 => vec![4; 40],
        _ => Vec::new(),
    };
    fleet.run(10_100, &mut burst);
    assert_eq!(fleet.admitted.len(), 40);
}

/// Without requests there are no messages, also after there were some.
#[test]
fn an_idle_fleet_sends_nothing() {
    let mut fleet = Fleet::new(82, 20.0, 40.0, 1);
    fleet.run(5_000, &mut demand(82, Spread::Even, 20.0));
    let mut none = |_: u64, _: &mut StdRng| Vec::new();
    fleet.run(12_000, &mut none);
    let before = fleet.messages;
    fleet.run(10_000, &mut none);
    assert_eq!(fleet.messages - before, 0);
}
