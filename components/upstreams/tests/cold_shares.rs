//! What all daemons together send to a cold upstream, simulated with plain numbers.

use clock::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use upstreams::{ColdBounds, ColdLimits, ColdPeriod, Segment, Times};

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

/// Processors of the daemons.
#[derive(Clone, Copy, Debug)]
enum Sizes {
    Equal,
    /// One of 14 daemons has about five times the processor of the others, which differ.
    Uneven,
}

impl Sizes {
    /// Returns the daemons' parts of the circle.
    fn segments(self, count: usize) -> Vec<Segment> {
        let weight = |n: usize| match self {
            Sizes::Equal => 1.0,
            Sizes::Uneven if n.is_multiple_of(14) => 500.0,
            Sizes::Uneven => (84 + n % 37) as f64,
        };
        let total: f64 = (0..count).map(weight).sum();
        let segment = |n: usize| Segment {
            start: (0..n).map(weight).sum::<f64>() / total,
            length: weight(n) / total,
        };
        (0..count).map(segment).collect()
    }
}

fn at(boot: u64, wall: u64) -> Times {
    Times {
        boot: Millis(boot),
        wall: Millis(wall),
    }
}

fn daemons(segments: &[Segment], rate: f64, skew_ms: u64, rng: &mut StdRng) -> Vec<Daemon> {
    let period = ColdPeriod {
        per_second: rate,
        until: Millis(RUN_MS),
    };
    let daemon = |segment: &Segment| {
        let skew_ms = rng.random_range(0..=skew_ms);
        let start = at(0, WALL_START + skew_ms);
        let limits = ColdLimits::new(ColdBounds::default());
        limits.set_segment(*segment, start);
        assert!(limits.set(UPSTREAM, Some(period), start));
        Daemon { limits, skew_ms }
    };
    segments.iter().map(daemon).collect()
}

/// Returns the times at which requests are sent.
fn simulate(rate: f64, segments: &[Segment], load: Load, skew_ms: u64, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let daemons = daemons(segments, rate, skew_ms, &mut rng);
    let mut sends = Vec::new();
    for ms in load.idle_ms..RUN_MS {
        let whole = (load.demand / 1_000.0) as usize;
        let part = (load.demand / 1_000.0).fract();
        let arrivals = whole + usize::from(rng.random::<f64>() < part);
        for _ in 0..arrivals {
            // The work follows the shares.
            let point = rng.random::<f64>();
            let after = segments.partition_point(|s| s.start <= point);
            let daemon = &daemons[after - 1];
            let times = at(ms, WALL_START + ms + daemon.skew_ms);
            if daemon.limits.wait(UPSTREAM, 0.0, times) == Some(Millis::ZERO) {
                daemon.limits.spend(UPSTREAM, 0.0, times);
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
    #[values(Sizes::Equal, Sizes::Uneven)] sizes: Sizes,
) {
    const SKEW_MS: u64 = 100;
    let allowed = rate * 1.5 + 5.0;
    let segments = sizes.segments(count);
    let loads = [(50.0, 0), (130.0, 0), (2_000.0, 0), (2_000.0, 50_000)];
    for (demand, idle_ms) in loads {
        let load = Load { demand, idle_ms };
        for seed in 0..SEEDS {
            let sends = simulate(rate, &segments, load, SKEW_MS, seed);
            let most = busiest_window(&sends);
            assert!(most as f64 <= allowed, "{most} of {allowed}, {load:?}");
        }
    }
}

#[rstest]
fn at_least_seven_tenths_of_the_rate_are_used_when_there_is_demand(
    #[values(7, 82, 402)] count: usize,
    #[values(2.0, 8.0, 20.0, 60.0)] rate: f64,
    #[values(Sizes::Equal, Sizes::Uneven)] sizes: Sizes,
) {
    // Each daemon gets several requests in the time for which it may use its token.
    let load = Load {
        demand: 10.0 * count as f64,
        idle_ms: 0,
    };
    let sends = simulate(rate, &sizes.segments(count), load, 100, 1);
    let used = sends.len() as f64 / (rate * RUN_MS as f64 / 1_000.0);
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
    let sends = simulate(RATE, &Sizes::Equal.segments(402), load, 600_000, 1);
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
    let wait = |ms| limits.wait(UPSTREAM, 0.0, at(ms, WALL_START + ms));
    assert!(limits.set(UPSTREAM, cold(5_000), at(1_000, WALL_START)));
    assert_eq!(wait(1_000), Some(Millis(500)));
    assert_eq!(wait(4_900), Some(Millis::ZERO));
    assert_eq!(wait(5_000), Some(Millis::ZERO), "it is not cold any more");
    assert!(!limits.is_cold(UPSTREAM, Millis(5_000)));
    // A report that says so again while it is cold leaves the tokens alone.
    assert!(limits.set(UPSTREAM, cold(20_000), at(9_000, WALL_START)));
    assert_eq!(wait(9_000), Some(Millis(500)));
    assert!(!limits.set(UPSTREAM, cold(30_000), at(9_500, WALL_START)));
    assert_eq!(wait(9_500), Some(Millis::ZERO));
    assert!(!limits.set(UPSTREAM, None, at(9_600, WALL_START)));
    assert!(limits.is_empty());
}

/// Another process listens at the address: the cold upstream got nothing.
#[rstest]
#[case::whole_share(1, 20.0)]
#[case::share_of_less_than_a_token(402, 20.0)]
fn a_token_is_returned(#[case] count: usize, #[case] rate: f64) {
    let limits = ColdLimits::new(ColdBounds::default());
    let start = at(0, WALL_START);
    limits.set_segment(Sizes::Equal.segments(count)[0], start);
    let period = ColdPeriod {
        per_second: rate,
        until: Millis(600_000),
    };
    limits.set(UPSTREAM, Some(period), start);
    let is_free = |ms: u64| {
        let wait = limits.wait(UPSTREAM, 0.0, at(ms, WALL_START + ms));
        wait == Some(Millis::ZERO)
    };
    let free = (1_000..600_000).find(|ms| is_free(*ms));
    let ms = free.expect("the share allows a request");
    let mut sent = 0;
    while is_free(ms) {
        limits.spend(UPSTREAM, 0.0, at(ms, WALL_START + ms));
        sent += 1;
    }
    assert!(sent > 0);
    limits.give_back(UPSTREAM, Millis(ms));
    assert!(is_free(ms));
    limits.spend(UPSTREAM, 0.0, at(ms, WALL_START + ms));
    assert!(!is_free(ms), "one token is returned, not more");
}
