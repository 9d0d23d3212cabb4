//! The times of a shutdown.

use clock::Millis;
use daemon::Schedule;
use rstest::rstest;

const STOPPED: Millis = Millis(1_000);

#[rstest]
#[case::defaults(5_000, 30_000)]
#[case::no_grace(0, 1_000)]
#[case::no_drain(1_000, 0)]
#[case::neither(0, 0)]
fn requests_are_answered_between_their_last_deadline_and_the_exit(
    #[case] grace: u64,
    #[case] drain: u64,
) {
    let schedule = Schedule::new(STOPPED, Millis(grace), Millis(drain));
    assert_eq!(schedule.close_at, STOPPED + Millis(grace));
    assert_eq!(schedule.finish_by, STOPPED + Millis(grace + drain));
    assert!(schedule.finish_by < schedule.cut_at);
    assert!(schedule.cut_at < schedule.exit_at(schedule.cut_at));
}

#[rstest]
#[case(5_000, 30_000)]
#[case(0, 0)]
fn the_exit_is_within_a_second_of_the_configured_times(#[case] grace: u64, #[case] drain: u64) {
    let schedule = Schedule::new(STOPPED, Millis(grace), Millis(drain));
    let late = schedule.cut_at + Millis(10_000);
    assert!(schedule.exit_at(late) <= schedule.finish_by + Millis(1_000));
}

#[test]
fn an_idle_daemon_exits_within_a_second_of_the_grace() {
    let schedule = Schedule::new(STOPPED, Millis(5_000), Millis(30_000));
    assert!(schedule.exit_at(schedule.close_at) <= schedule.close_at + Millis(1_000));
}
