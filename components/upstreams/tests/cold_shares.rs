//! What all daemons together send to a cold upstream, simulated with plain numbers.

use clock::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use upstreams::{ColdBounds, ColdLimits, ColdPeriod, Times};

const UPSTREAM: &str = "s/u1@7";
const WALL_START: u64 = 1_770_000_000_000;
const WINDOW_MS: u64 = 1_000;
const RUN_MS: u64 = 60_000;
const SEEDS: u64 = 5;

/// Load on all daemons together.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second.
    demand: f64,
    /// Until then there are none.
    idle_ms: u64,
}

/// A daemon with its clock, which differs from the others'.
struct Daemon {
    limits: ColdLimits,
    skew_ms: u64,
}

fn daemons(count: usize, rate: f64, skew_ms: u64, rng: &mut StdRng) -> Vec<Daemon> {
    let period = ColdPeriod {
        per_second: rate,
        until: Millis(RUN_MS),
    };
    let daemon = |rank: usize| {
        let limits = ColdLimits::new(ColdBounds::default());
        limits.set_daemons(count, rank, Millis::ZERO);
        assert!(limits.set(UPSTREAM, Some(period), Millis::ZERO));
        Daemon {
            limits,
            skew_ms: rng.random_range(0..=skew_ms),
        }
    };
    (0..count).map(daemon).collect()
}

/// Returns the times at which requests are sent.
fn simulate(rate: f64, count: usize, load: Load, skew_ms: u64, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let daemons = daemons(count, rate, skew_ms, &mut rng);
    let mut sends = Vec::new();
    for ms in load.idle_ms..RUN_MS {
        let whole = (load.demand / 1_000.0) as usize;
        let part = (load.demand / 1_000.0).fract();
        let arrivals = whole + usize::from(rng.random::<f64>() < part);
        for _ in 0..arrivals {
            let daemon = &daemons[rng.random_range(0..count)];
            let times = Times {
                boot: Millis(ms),
                wall: Millis(WALL_START + seed * 7_919 + ms + daemon.skew_ms),
            };
            if daemon.limits.wait(UPSTREAM, 0.0, times) == Millis::ZERO {
                daemon.limits.spend(UPSTREAM, Millis(ms));
                sends.push(ms);
            }
        }
    }
    sends
}

fn busiest_window(sends: &[u64]) -> usize {
    let count = |(n, at): (usize, &u64)| sends.partition_point(|s| *s < at + WINDOW_MS) - n;
    sends.iter().enumerate().map(count).max().unwrap_or(0)
}

/// Bursts after an idle time, when all daemons have saved up what they may, are the
/// largest. The clocks of the daemons differ by up to 100 ms.
#[rstest]
fn daemons_together_never_send_more_to_a_cold_upstream_than_it_bears(
    #[values(7, 82, 402)] count: usize,
    #[values(0.5, 2.0, 5.0, 8.0, 20.0, 60.0)] rate: f64,
) {
    const SKEW_MS: u64 = 100;
    let allowed = rate * 1.5 + 5.0;
    let loads = [(50.0, 0), (130.0, 0), (2_000.0, 0), (2_000.0, 50_000)];
    for (demand, idle_ms) in loads {
        let load = Load { demand, idle_ms };
        for seed in 0..SEEDS {
            let sends = simulate(rate, count, load, SKEW_MS, seed);
            let most = busiest_window(&sends);
            assert!(most as f64 <= allowed, "{most} of {allowed}, {load:?}");
        }
    }
}

#[rstest]
fn at_least_seven_tenths_of_the_rate_are_used_when_there_is_demand(
    #[values(7, 82, 402)] count: usize,
    #[values(2.0, 8.0, 20.0, 60.0)] rate: f64,
) {
    // Each daemon gets several requests in the time for which it may use its token.
    let load = Load {
        demand: 10.0 * count as f64,
        idle_ms: 0,
    };
    let sends = simulate(rate, count, load, 100, 1);
    // The first round may have begun before the upstream turned cold.
    let round_ms = (count as f64 / (0.8 * rate) * 1_000.0) as u64;
    let from = round_ms.min(RUN_MS / 2);
    let counted = sends.iter().filter(|at| **at >= from).count();
    let used = counted as f64 / (rate * (RUN_MS - from) as f64 / 1_000.0);
    println!("{used:.2} of the rate");
    assert!(used >= 0.7, "{used}");
}

/// Clocks that differ by any time must not make the daemons send more in the mean.
#[test]
fn daemons_with_different_clocks_keep_the_rate_in_the_mean() {
    const RATE: f64 = 20.0;
    let load = Load {
        demand: 4_000.0,
        idle_ms: 0,
    };
    let sends = simulate(RATE, 402, load, 600_000, 1);
    let per_second = sends.len() as f64 / (RUN_MS as f64 / 1_000.0);
    assert!(per_second <= RATE, "{per_second} a second");
}

#[test]
fn an_upstream_that_turns_cold_again_is_limited_again_without_saved_tokens() {
    let limits = ColdLimits::new(ColdBounds::default());
    let cold = |until| {
        Some(ColdPeriod {
            per_second: 2.0,
            until: Millis(until),
        })
    };
    let wait = |ms| {
        let times = Times {
            boot: Millis(ms),
            wall: Millis(WALL_START + ms),
        };
        limits.wait(UPSTREAM, 0.0, times)
    };
    assert!(limits.set(UPSTREAM, cold(5_000), Millis(1_000)));
    assert_eq!(wait(1_000), Millis(500));
    assert_eq!(wait(4_900), Millis::ZERO);
    assert_eq!(wait(5_000), Millis::ZERO, "it is not cold any more");
    assert!(!limits.is_cold(UPSTREAM, Millis(5_000)));
    // A report that says so again while it is cold leaves the tokens alone.
    assert!(limits.set(UPSTREAM, cold(20_000), Millis(9_000)));
    assert_eq!(wait(9_000), Millis(500));
    assert!(!limits.set(UPSTREAM, cold(30_000), Millis(9_500)));
    assert_eq!(wait(9_500), Millis::ZERO);
    assert!(!limits.set(UPSTREAM, None, Millis(9_600)));
    assert!(limits.is_empty());
}

/// Another process listens at the address: the cold upstream got nothing.
#[rstest]
#[case::whole_share(1, 20.0)]
#[case::share_of_less_than_a_token(402, 20.0)]
fn a_token_is_returned(#[case] count: usize, #[case] rate: f64) {
    let limits = ColdLimits::new(ColdBounds::default());
    limits.set_daemons(count, 0, Millis::ZERO);
    let period = ColdPeriod {
        per_second: rate,
        until: Millis(600_000),
    };
    limits.set(UPSTREAM, Some(period), Millis::ZERO);
    let wait = |ms| {
        let times = Times {
            boot: Millis(ms),
            wall: Millis(ms),
        };
        limits.wait(UPSTREAM, 0.0, times)
    };
    let free = (0..600_000).find(|ms| *ms > 100_000 && wait(*ms) == Millis::ZERO);
    let at = free.expect("the share allows a request");
    let mut sent = 0;
    while wait(at) == Millis::ZERO {
        limits.spend(UPSTREAM, Millis(at));
        sent += 1;
    }
    assert!(sent > 0 && wait(at) > Millis::ZERO);
    limits.give_back(UPSTREAM, Millis(at));
    assert_eq!(wait(at), Millis::ZERO);
}
