//! The rate at which daemons write crashes that they see at once, or one after the other,
//! as when a failure domain or all daemons are lost.

use clock::Millis;
use discovery::CRASH_BATCH;
use gateway::{MissingCrash, WriteSchedule, crash_write_delay};
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

/// Interval between the rounds of a daemon that has crashes to write.
const ROUND: Millis = Millis(150);
/// Time after which a record that one daemon wrote is known to all.
const LAG: Millis = Millis(2_000);

/// Simulates daemons that each see a crash in every round and hear of those of all others;
/// returns the calls of each second.
fn simulate(daemons: usize, rounds: u64, seed: u64) -> Vec<usize> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut schedules: Vec<WriteSchedule<(usize, u64)>> = Vec::new();
    schedules.resize_with(daemons, WriteSchedule::default);
    let mut known_at = std::collections::HashMap::new();
    let mut calls = vec![0; (rounds * ROUND.0 / SECOND.0) as usize + 1];
    for round in 0..rounds {
        let now = Millis(round * ROUND.0);
        for (me, schedule) in schedules.iter_mut().enumerate() {
            let recent = round.saturating_sub(12)..=round;
            let seen = recent.flat_map(|round| (0..daemons).map(move |seer| (seer, round)));
            let is_missing = |key: &(usize, u64)| known_at.get(key).is_none_or(|at| *at > now);
            let missing: Vec<_> = seen
                .filter(is_missing)
                .map(|key| MissingCrash {
                    key,
                    is_own: key.0 == me,
                })
                .collect();
            let written = schedule.take_due(&missing, daemons, now, || rng.random());
            assert!(
                written.len() <= CRASH_BATCH,
                "{} need more calls",
                written.len()
            );
            calls[(now.0 / SECOND.0) as usize] += usize::from(!written.is_empty());
            for key in written {
                known_at.entry(key).or_insert(now + LAG);
            }
        }
    }
    calls
}

#[rstest]
#[case::grown_site(64)]
#[case::large_site(195)]
fn daemons_that_see_crash_after_crash_write_within_the_limit_of_the_store(#[case] daemons: usize) {
    let calls = simulate(daemons, 40, 1);
    println!("{calls:?}");
    let most = calls.iter().max().copied().unwrap_or_default();
    assert!(most * CALLS_PER_DAEMON <= CALLS_PER_SECOND, "{calls:?}");
}

#[test]
fn what_another_daemon_saw_is_left_to_it_at_first() {
    let mut schedule = WriteSchedule::default();
    let missing = [true, false].map(|is_own| MissingCrash {
        key: is_own,
        is_own,
    });
    assert_eq!(
        schedule.take_due(&missing, 7, Millis(1_000), || 0.0),
        [true]
    );
    let written = schedule.take_due(&missing[1..], 7, Millis(2_000), || 0.0);
    assert!(written.is_empty());
    let written = schedule.take_due(&missing[1..], 7, Millis(9_000), || 0.0);
    assert_eq!(written, [false]);
}
