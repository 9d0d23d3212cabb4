//! Tests of the schedule of a shutdown.

use clock::Millis;
use gateway::DrainSchedule;
use rstest::rstest;

const STARTED: Millis = Millis(1_000);
const GRACE_PERIOD: Millis = Millis(6_000);
const KILLED_AT: Millis = Millis(STARTED.0 + GRACE_PERIOD.0);

#[rstest]
#[case::none(Millis::ZERO)]
#[case::shorter_than_the_reserves(Millis(700))]
#[case::usual(GRACE_PERIOD)]
#[case::long(Millis(60_000))]
fn the_times_of_a_shutdown_keep_their_order_for_any_grace_period(#[case] grace_period: Millis) {
    let schedule = DrainSchedule::new(STARTED, grace_period);
    let times = [
        STARTED,
        schedule.close_at,
        schedule.request_deadline,
        schedule.answer_by,
        schedule.exit_at,
        STARTED + grace_period,
    ];
    assert!(times.is_sorted(), "{times:?}");
}

#[test]
fn the_last_answers_have_time_to_reach_callers_before_the_process_is_killed() {
    let schedule = DrainSchedule::new(STARTED, GRACE_PERIOD);
    assert!(KILLED_AT.since(schedule.answer_by) >= Millis(500));
    assert!(schedule.answer_by.since(schedule.request_deadline) >= Millis(50));
}

/// Requests arrive until the process is killed; each takes its objective. None of
/// those that are accepted may outlast the shutdown, and none that fits is refused.
#[rstest]
#[case::short(Millis(50))]
#[case::usual(Millis(400))]
#[case::longer_than_the_grace_period(Millis(8_000))]
fn requests_that_fit_into_the_shutdown_are_accepted_and_no_others(#[case] objective: Millis) {
    let schedule = DrainSchedule::new(STARTED, GRACE_PERIOD);
    for arrived in (STARTED.0..KILLED_AT.0).step_by(10).map(Millis) {
        let ends = arrived + objective;
        let fits = ends <= schedule.request_deadline;
        assert_eq!(schedule.accepts(arrived, objective), fits, "{arrived}");
    }
    let may_fit = objective < Millis(5_000);
    assert_eq!(schedule.accepts(STARTED, objective), may_fit);
}
