//! Tests of the schedule of a shutdown.

use clock::Millis;
use gateway::ShutdownSchedule;
use routes::Delivery;
use rstest::rstest;

const STARTED: Millis = Millis(1_000);
const GRACE_PERIOD: Millis = Millis(6_000);
const KILLED_AT: Millis = Millis(STARTED.0 + GRACE_PERIOD.0);
/// Time that the last answers need to reach their callers.
const ANSWER_TIME: Millis = Millis(500);
/// A request that would end earlier before the kill is not refused.
const REFUSAL_TIME: Millis = Millis(1_000);
/// Time that each request has.
const TIMEOUT: Millis = Millis(4_000);

#[rstest]
#[case::none(Millis::ZERO)]
#[case::shorter_than_the_reserves(Millis(700))]
#[case::usual(GRACE_PERIOD)]
#[case::long(Millis(60_000))]
fn the_times_of_a_shutdown_keep_their_order_for_any_grace_period(#[case] grace_period: Millis) {
    let schedule = ShutdownSchedule::new(STARTED, grace_period);
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
    let schedule = ShutdownSchedule::new(STARTED, GRACE_PERIOD);
    assert!(schedule.answer_by + ANSWER_TIME <= KILLED_AT);
    assert!(schedule.request_deadline < schedule.answer_by);
    assert!(schedule.unlisted_at < schedule.close_at);
}

/// Requests arrive until the process is killed; each takes its objective or all
/// the time it has.
#[rstest]
#[case::short(Millis(50))]
#[case::usual(Millis(400))]
#[case::as_long_as_the_timeout(TIMEOUT)]
#[case::longer_than_the_timeout(Millis(9_000))]
fn each_accepted_request_ends_before_the_process_is_killed(#[case] objective: Millis) {
    let schedule = ShutdownSchedule::new(STARTED, GRACE_PERIOD);
    for arrived in (STARTED.0..KILLED_AT.0).step_by(10).map(Millis) {
        let own_deadline = arrived + TIMEOUT;
        let ends_at = arrived + objective.min(TIMEOUT);
        let bounded = schedule.deadline(arrived, Delivery::Idempotent, objective, own_deadline);
        match bounded {
            Some(deadline) => {
                assert!(ends_at <= deadline, "{arrived}");
                assert!(deadline <= own_deadline, "{arrived}");
                assert!(deadline + ANSWER_TIME < KILLED_AT, "{arrived}");
            }
            None => assert!(ends_at + REFUSAL_TIME > KILLED_AT, "{arrived}"),
        }
    }
}

/// Guards against a request that must not be repeated and is cut off at the exit, though its
/// caller would have reached another daemon.
#[rstest]
#[case::short(Millis(50))]
#[case::usual(Millis(400))]
#[case::longer_than_the_timeout(Millis(9_000))]
fn a_late_request_that_must_not_be_repeated_keeps_all_its_time(#[case] objective: Millis) {
    let schedule = ShutdownSchedule::new(STARTED, GRACE_PERIOD);
    for timeout in (0..GRACE_PERIOD.0).step_by(50).map(Millis) {
        for arrived in (schedule.unlisted_at.0..KILLED_AT.0)
            .step_by(10)
            .map(Millis)
        {
            let own_deadline = arrived + timeout;
            let bounded = schedule.deadline(arrived, Delivery::AtMostOnce, objective, own_deadline);
            let fits = own_deadline <= schedule.request_deadline;
            assert_eq!(bounded, fits.then_some(own_deadline), "{arrived} {timeout}");
        }
    }
}
