//! The deadlines of requests on a daemon that is shutting down.

use clock::Millis;
use query::{ExitTime, Kind};
use rstest::rstest;
use upstreams::Ran;

const STARTED: Millis = Millis(1_000);

fn exit_at(ms: u64) -> ExitTime {
    let exit = ExitTime::default();
    exit.set(Millis(ms));
    exit
}

#[rstest]
#[case::declared(None, 2_000)]
#[case::short_timeout(Some(300), 1_300)]
#[case::long_timeout(Some(60_000), 61_000)]
fn a_running_daemon_keeps_the_deadline(#[case] timeout: Option<u64>, #[case] expected: u64) {
    let deadline = ExitTime::default().deadline(STARTED, timeout.map(Millis), Millis(1_000));
    assert_eq!(deadline, Ok(Millis(expected)));
}

#[rstest]
#[case::declared(None, 2_000)]
#[case::short_timeout(Some(300), 1_300)]
#[case::long_timeout(Some(60_000), 2_500)]
fn a_leaving_daemon_bounds_the_deadline(#[case] timeout: Option<u64>, #[case] expected: u64) {
    let deadline = exit_at(2_500).deadline(STARTED, timeout.map(Millis), Millis(1_000));
    assert_eq!(deadline, Ok(Millis(expected)));
}

#[rstest]
#[case::declared(None, 1_999)]
#[case::long_timeout(Some(60_000), 1_999)]
#[case::short_timeout(Some(300), 1_299)]
#[case::no_time_left(Some(1), 900)]
fn a_leaving_daemon_refuses_what_it_can_not_finish(
    #[case] timeout: Option<u64>,
    #[case] exit: u64,
) {
    let refusal = exit_at(exit)
        .deadline(STARTED, timeout.map(Millis), Millis(1_000))
        .unwrap_err();
    assert_eq!(refusal.kind, Kind::Unready);
    assert_eq!(refusal.ran, Ran::No);
    assert!(refusal.retry_after.is_some());
}
