//! The rate at which daemons write crashes that they have all seen at once, as when a
//! failure domain is lost.

use clock::Millis;
use gateway::crash_write_delay;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Calls that all daemons together may make to the store per second.
const CALLS_PER_SECOND: usize = 400;
/// A lease and a batch of crashes.
const CALLS_PER_DAEMON: usize = 2;
const SECOND: Millis = Millis(1_000);
const RUNS: u64 = 50;

#[rstest]
#[case::grown_site(83)]
#[case::four_hundred(400)]
fn daemons_that_see_crashes_at_once_write_within_the_limit_of_the_store(#[case] daemons: usize) {
    for seed in 0..RUNS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut delay = || crash_write_delay(daemons, true, rng.random());
        let mut delays: Vec<Millis> = (0..daemons).map(|_| delay()).collect();
        delays.sort_unstable();
        let in_second = |start: &Millis| {
            let end = *start + SECOND;
            delays.iter().filter(|d| *d >= start && **d < end).count()
        };
        let most = delays.iter().map(in_second).max().unwrap();
        let calls = most * CALLS_PER_DAEMON;
        assert!(calls <= CALLS_PER_SECOND, "{calls} calls, seed {seed}");
    }
}

#[test]
fn seven_daemons_write_soon() {
    assert!(crash_write_delay(7, true, 1.0) <= Millis(50));
}
