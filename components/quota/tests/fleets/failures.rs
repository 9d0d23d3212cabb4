//! Daemons that end, are cut off or pause while a workspace asks for six times its quota:
//! the rule is kept in every window, and the others get what the quota allows again.

use rand::RngExt;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::fleet::Fleet;
use crate::rule::{admitted_share, assert_rule};

const QUOTAS: [(f64, f64); 4] = [(1.0, 1.0), (10.0, 20.0), (30.0, 60.0), (100.0, 100.0)];
const ADMITTED_SHARE: f64 = 0.95;
const BEFORE_MS: u64 = 10_000;
/// A registration has expired, the lists are equal again and a window has passed.
const SETTLED_MS: u64 = 10_000 + 1_200 + 1_500 + 5_000;
/// Time over which what is admitted is compared with the quota.
const MEASURED_MS: u64 = 20_000;
const SEEDS: u64 = 2;

fn demand(count: usize, per_second: f64) -> impl FnMut(u64, &mut StdRng) -> Vec<usize> {
    move |_, rng| match rng.random::<f64>() < per_second / 1_000.0 {
        true => vec![rng.random_range(0..count)],
        false => Vec::new(),
    }
}

fn assert_recovered(fleet: &Fleet, quota: (f64, f64), from: u64) {
    let share = admitted_share(&fleet.admitted, &fleet.offered, quota, from);
    assert!(share >= ADMITTED_SHARE, "{share}");
}

/// The cut daemons can't know that the others have chosen another allocator.
#[rstest]
fn a_third_of_the_daemons_is_cut_off(
    #[values(7, 82, 402)] count: usize,
    #[values(0, 1, 2, 3)] quota: usize,
    #[values(true, false)] has_allocator: bool,
) {
    let quota = QUOTAS[quota];
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(count, quota.0, quota.1, seed);
        let allocator = fleet.allocator(0);
        let mut cut: Vec<usize> = (0..count).filter(|d| *d != allocator).collect();
        cut.truncate(count / 3);
        if has_allocator {
            cut[0] = allocator;
        }
        let mut arrivals = demand(count, quota.0 * 6.0);
        fleet.run(BEFORE_MS, &mut arrivals);
        fleet.cut(&cut);
        fleet.run(SETTLED_MS, &mut arrivals);
        let settled = fleet.now;
        fleet.run(MEASURED_MS, &mut arrivals);
        assert_recovered(&fleet, quota, settled);
        fleet.heal();
        fleet.run(SETTLED_MS, &mut arrivals);
        assert_rule(&fleet.admitted, quota.0, quota.1);
    }
}

#[rstest]
fn the_allocator_ends(
    #[values(7, 82, 402)] count: usize,
    #[values(0, 1, 2, 3)] quota: usize,
    #[values(true, false)] is_restarted: bool,
) {
    let quota = QUOTAS[quota];
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(count, quota.0, quota.1, seed);
        let allocator = fleet.allocator(0);
        let mut arrivals = demand(count, quota.0 * 6.0);
        fleet.run(BEFORE_MS, &mut arrivals);
        fleet.kill(allocator);
        if is_restarted {
            fleet.run(1_500, &mut arrivals);
            fleet.restart(allocator);
        }
        fleet.run(SETTLED_MS, &mut arrivals);
        let settled = fleet.now;
        fleet.run(MEASURED_MS, &mut arrivals);
        assert_rule(&fleet.admitted, quota.0, quota.1);
        // A request at a daemon that is not there is not admitted.
        if is_restarted || count > 7 {
            assert_recovered(&fleet, quota, settled);
        }
    }
}

/// While the allocator is gone, daemons use their shares: requests are still served.
#[test]
fn shares_serve_requests_while_the_allocator_is_silent() {
    let quota = (20.0, 40.0);
    let mut fleet = Fleet::new(82, quota.0, quota.1, 2);
    let allocator = fleet.allocator(0);
    let callers: Vec<usize> = (0..82).filter(|d| *d != allocator).take(3).collect();
    let mut arrivals = |_: u64, rng: &mut StdRng| match rng.random::<f64>() < 0.015 {
        true => vec![callers[rng.random_range(0..3)]],
        false => Vec::new(),
    };
    fleet.run(BEFORE_MS, &mut arrivals);
    fleet.kill(allocator);
    let killed = fleet.now;
    fleet.run(5_000, &mut arrivals);
    let share = admitted_share(&fleet.admitted, &fleet.offered, quota, killed);
    assert!(share >= 0.8, "{share}");
}

/// A daemon that was frozen while another one became the allocator must not use what it
/// held or grant from its old bucket.
#[rstest]
fn a_frozen_allocator_resumes(
    #[values(7, 82)] count: usize,
    #[values(2_000, 8_000, 20_000)] pause_ms: u64,
    #[values(0, 1, 2, 3)] quota: usize,
) {
    let quota = QUOTAS[quota];
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(count, quota.0, quota.1, seed);
        let allocator = fleet.allocator(0);
        let mut arrivals = demand(count, quota.0 * 6.0);
        fleet.run(BEFORE_MS, &mut arrivals);
        fleet.pause(allocator);
        fleet.run(pause_ms, &mut arrivals);
        fleet.resume(allocator);
        for _ in 0..100 {
            fleet.request(allocator);
        }
        fleet.run(SETTLED_MS, &mut arrivals);
        let settled = fleet.now;
        fleet.run(MEASURED_MS, &mut arrivals);
        assert_rule(&fleet.admitted, quota.0, quota.1);
        assert_recovered(&fleet, quota, settled);
    }
}

/// Registrations that are added and removed move the allocator; for a moment there are two.
#[rstest]
fn daemons_restart_one_after_the_other(
    #[values(7, 82)] count: usize,
    #[values(0, 1, 2, 3)] quota: usize,
) {
    let quota = QUOTAS[quota];
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(count, quota.0, quota.1, seed);
        let mut arrivals = demand(count, quota.0 * 6.0);
        fleet.run(BEFORE_MS, &mut arrivals);
        for _ in 0..4 {
            let allocator = fleet.allocator(0);
            fleet.leave(allocator);
            fleet.run(3_000, &mut arrivals);
            fleet.restart(allocator);
            fleet.run(3_000, &mut arrivals);
        }
        fleet.run(SETTLED_MS, &mut arrivals);
        assert_rule(&fleet.admitted, quota.0, quota.1);
    }
}

/// No allocator of a fleet that has just started knows what was granted before.
#[rstest]
fn all_daemons_restart(#[values(7, 82)] count: usize, #[values(0, 1, 2, 3)] quota: usize) {
    let quota = QUOTAS[quota];
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(count, quota.0, quota.1, seed);
        let mut arrivals = demand(count, quota.0 * 6.0);
        fleet.run(BEFORE_MS, &mut arrivals);
        for daemon in 0..count {
            fleet.kill(daemon);
        }
        fleet.run(500, &mut arrivals);
        for daemon in 0..count {
            fleet.restart(daemon);
        }
        let restarted = fleet.now;
        fleet.run(5_000 + MEASURED_MS, &mut arrivals);
        assert_rule(&fleet.admitted, quota.0, quota.1);
        assert_recovered(&fleet, quota, restarted + 5_000);
    }
}

/// Lists stay as they are; the allocators continue.
#[rstest]
fn the_store_is_unavailable(#[values(7, 82)] count: usize, #[values(0, 1, 2, 3)] quota: usize) {
    let quota = QUOTAS[quota];
    let mut fleet = Fleet::new(count, quota.0, quota.1, 1);
    let mut arrivals = demand(3, quota.0 * 0.8);
    fleet.run(BEFORE_MS, &mut arrivals);
    fleet.is_store_down = true;
    fleet.run(30_000, &mut arrivals);
    fleet.is_store_down = false;
    fleet.run(10_000, &mut arrivals);
    assert_rule(&fleet.admitted, quota.0, quota.1);
    let share = admitted_share(&fleet.admitted, &fleet.offered, quota, BEFORE_MS);
    assert!(share >= 0.8, "{share}");
}

/// Tokens of a lost answer are lost; the next answer must not contain them again.
#[rstest]
fn answers_are_lost(#[values(7, 82)] count: usize, #[values(0, 1, 2, 3)] quota: usize) {
    let quota = QUOTAS[quota];
    let mut fleet = Fleet::new(count, quota.0, quota.1, 1);
    fleet.loss = 0.2;
    let mut arrivals = demand(count, quota.0 * 6.0);
    fleet.run(40_000, &mut arrivals);
    assert_rule(&fleet.admitted, quota.0, quota.1);
}

/// A lowered limit applies one window after all daemons have the configuration.
#[rstest]
fn the_limit_is_lowered(#[values(7, 82, 402)] count: usize) {
    let mut fleet = Fleet::new(count, 100.0, 200.0, 1);
    let mut arrivals = demand(count, 300.0);
    fleet.run(BEFORE_MS, &mut arrivals);
    fleet.set_quota(5.0, 5.0);
    fleet.run(1_200, &mut arrivals);
    let lowered = fleet.now + 5_000;
    fleet.run(20_000, &mut arrivals);
    let later: Vec<u64> = fleet
        .admitted
        .iter()
        .copied()
        .filter(|t| *t >= lowered)
        .collect();
    assert_rule(&later, 5.0, 5.0);
    assert_recovered(&fleet, (5.0, 5.0), lowered);
}
