//! When searches are answered, who is admitted, and when the others come
//! back.

use clock::Millis;
use gateway::{
    Cause, ConcurrencyLimiter, Progress, Refusal, Step, connection_share, initial_tokens,
    partial_answer_after, retry_after, token_limit, top_records,
};
use http::StatusCode;
use rstest::rstest;
use upstreams::{Budget, Ran};

const OBJECTIVE: Millis = Millis(100);

#[rstest]
#[case::all(10, 0, false, Step::Answer)]
#[case::wait_for_the_last(9, 0, false, Step::Wait)]
#[case::enough_when_overdue(9, 0, true, Step::Answer)]
#[case::the_rest_failed(9, 1, false, Step::Answer)]
#[case::too_few_when_overdue(8, 0, true, Step::Wait)]
#[case::can_not_be_reached(3, 2, false, Step::GiveUp)]
#[case::can_not_be_reached_overdue(8, 2, true, Step::GiveUp)]
fn a_search_is_answered(
    #[case] covered: usize,
    #[case] failed: usize,
    #[case] is_overdue: bool,
    #[case] step: Step,
) {
    let progress = Progress {
        total: 10,
        required: 9,
        covered,
        failed,
        is_overdue,
    };
    assert_eq!(progress.next_step(), step);
}

/// The caller is 3 ms away and opens a connection for its request.
#[rstest]
#[case::short(Millis(50))]
#[case::usual(Millis(100))]
#[case::long(Millis(200))]
fn an_answer_with_what_is_there_reaches_its_caller_in_time(#[case] objective: Millis) {
    let one_way = Millis(3);
    let on_the_way = Millis(4 * one_way.0);
    let within = partial_answer_after(objective);
    assert!(within + on_the_way < objective, "{within:?}");
    assert!(
        within.0 * 10 >= objective.0 * 7,
        "parts get most of the time: {within:?}"
    );
}

#[test]
fn the_greatest_records_of_all_parts_are_merged() {
    let record = |first: u8| [[first; 8], [0; 8]].concat();
    let (a, b) = (
        [record(3), record(9)].concat(),
        [record(9), vec![255; 7]].concat(),
    );
    let merged = top_records([a.as_slice(), b.as_slice()].into_iter(), 2);
    assert_eq!(merged, [record(9), record(9)].concat());
    assert!(top_records(std::iter::empty(), 2).is_empty());
}

#[rstest]
#[case::after_the_wait(Millis(50), Millis(900), 0.0, Millis(50))]
#[case::spread(Millis(50), Millis(900), 1.0, Millis(100))]
#[case::not_at_once(Millis(0), Millis(900), 0.0, Millis(20))]
#[case::while_it_can_be_served(Millis(2_000), Millis(900), 1.0, Millis(300))]
fn refused_callers_return(
    #[case] wait: Millis,
    #[case] left: Millis,
    #[case] spread: f64,
    #[case] expected: Millis,
) {
    assert_eq!(retry_after(wait, left, spread), expected);
}

#[rstest]
#[case(Cause::Overloaded, Ran::No, StatusCode::SERVICE_UNAVAILABLE)]
#[case(Cause::Timeout, Ran::No, StatusCode::SERVICE_UNAVAILABLE)]
#[case(Cause::Timeout, Ran::Unknown, StatusCode::GATEWAY_TIMEOUT)]
#[case(Cause::Coverage, Ran::Yes, StatusCode::BAD_GATEWAY)]
#[case(Cause::UpstreamFailed, Ran::Unknown, StatusCode::BAD_GATEWAY)]
#[case(Cause::NoRoute, Ran::No, StatusCode::NOT_FOUND)]
fn the_status_promises_only_what_is_known(
    #[case] cause: Cause,
    #[case] ran: Ran,
    #[case] status: StatusCode,
) {
    let refusal = Refusal {
        ran,
        ..Refusal::not_run(cause, "")
    };
    assert_eq!(refusal.status(), status);
}

/// Plays requests that arrive each `gap_ms` at a server that takes
/// `service_ms` for each, one after the other, and returns how many were
/// answered within the objective.
fn play(gap_ms: u64, service_ms: u64, mut admission: Option<ConcurrencyLimiter>) -> usize {
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut in_time = 0;
    let mut free_at = 0;
    for arrived in (0..10_000).step_by(gap_ms as usize) {
        let (ended, running): (Vec<_>, Vec<_>) = ends.iter().partition(|(_, end)| *end <= arrived);
        ends = running;
        for (began, end) in ended {
            in_time += usize::from(end - began <= OBJECTIVE.0);
            if let Some(a) = admission.as_mut() {
                a.finish(Some(Millis(end - began)), OBJECTIVE, Millis(end));
            }
        }
        if admission.as_mut().is_none_or(ConcurrencyLimiter::admit) {
            free_at = free_at.max(arrived) + service_ms;
            ends.push((arrived, free_at));
        }
    }
    in_time
}

#[test]
fn under_overload_admission_serves_nearly_what_can_be_served() {
    // Twice the load that the server can carry: 500 requests of 1,000.
    let served = play(10, 20, Some(ConcurrencyLimiter::default()));
    let unbounded = play(10, 20, None);
    assert!(unbounded < 50, "{unbounded}");
    assert!(served > 350, "{served}");
}

#[test]
fn without_overload_admission_refuses_nothing() {
    assert_eq!(
        play(10, 8, Some(ConcurrencyLimiter::default())),
        play(10, 8, None)
    );
}

#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut admission = ConcurrencyLimiter::default();
    let limit = admission.limit() as usize;
    assert!((0..limit).all(|_| admission.admit()));
    assert!(!admission.admit());
    admission.release();
    assert!(admission.admit());
}

/// Requests of a window of ten seconds, dealt to the daemons in turn, each
/// followed by a repeat if the budget has one.
#[rstest]
#[case::few_daemons(7, 1_600)]
#[case::many_daemons(83, 1_600)]
#[case::more_daemons_than_slack(400, 3_200)]
fn daemons_share_the_budget_of_a_service(#[case] daemons: usize, #[case] requests: usize) {
    const SLACK: f64 = 206.0;
    let new = || {
        let budget = Budget::starting_with(initial_tokens(SLACK, daemons));
        budget.set_limit(token_limit(SLACK, daemons));
        budget
    };
    let budgets: Vec<Budget> = (0..daemons).map(|_| new()).collect();
    let run = |count: usize| {
        let repeated = (0..count).filter(|n| {
            let budget = &budgets[n % daemons];
            budget.earn(18);
            budget.spend()
        });
        repeated.count()
    };
    let repeats = run(requests);
    assert!(repeats > requests / 10, "{repeats} of {requests}");
    assert!(
        (repeats as f64) < requests as f64 * 0.2 + SLACK,
        "{repeats} of {requests}"
    );
    // What was saved up in quiet times is spent within the next window.
    budgets
        .iter()
        .for_each(|b| (0..10).for_each(|_| b.earn(18)));
    let repeats = run(requests);
    assert!(
        (repeats as f64) < requests as f64 * 0.2 + SLACK,
        "{repeats} of {requests}"
    );
}

/// An upstream resets connections beyond those that it accepts from all
/// daemons together.
#[rstest]
#[case::few_daemons(560, 7)]
#[case::hardly_one_each(62, 59)]
fn daemons_share_the_connections_of_an_upstream(#[case] accepted: usize, #[case] daemons: usize) {
    let share = connection_share(accepted, daemons);
    assert!(share >= 1);
    assert!(share * daemons <= accepted);
}
