//! Tests of the decisions that need no I/O: partial answers, admission,
//! Retry-After, refusals, and the daemons' shares of budgets and connections.

use clock::Millis;
use gateway::{
    Cause, ConcurrencyLimiter, Progress, Refusal, Step, connection_share, partial_answer_after,
    retry_after, token_limit, top_records,
};
use http::StatusCode;
use rstest::rstest;
use upstreams::{Budget, Ran};

const OBJECTIVE: Millis = Millis(100);

#[rstest]
#[case::all(10, 0, false, Step::Answer)]
#[case::waits_for_the_last(9, 0, false, Step::Wait)]
#[case::enough_when_overdue(9, 0, true, Step::Answer)]
#[case::the_rest_failed(9, 1, false, Step::Answer)]
#[case::too_few_when_overdue(8, 0, true, Step::Wait)]
#[case::coverage_unreachable(3, 2, false, Step::GiveUp)]
#[case::coverage_unreachable_when_overdue(8, 2, true, Step::GiveUp)]
fn next_step_of_a_search(
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

/// The caller is 3 ms away (one way) and opens a new connection for its request.
#[rstest]
#[case::short(Millis(50))]
#[case::usual(Millis(100))]
#[case::long(Millis(200))]
fn a_partial_answer_reaches_the_caller_within_the_objective(#[case] objective: Millis) {
    let one_way = Millis(3);
    let round_trips = Millis(4 * one_way.0);
    let answered_after = partial_answer_after(objective);
    assert!(
        answered_after + round_trips < objective,
        "{answered_after:?}"
    );
    assert!(
        answered_after.0 * 10 >= objective.0 * 7,
        "less than 70% of the objective is left for the shards: {answered_after:?}"
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
#[case::expected_wait(Millis(50), Millis(900), 0.0, Millis(50))]
#[case::with_jitter(Millis(50), Millis(900), 1.0, Millis(100))]
#[case::minimum(Millis(0), Millis(900), 0.0, Millis(20))]
#[case::third_of_the_remaining_time(Millis(2_000), Millis(900), 1.0, Millis(300))]
fn retry_after_of_refused_callers(
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
#[case(Cause::ShuttingDown, Ran::No, StatusCode::SERVICE_UNAVAILABLE)]
#[case(Cause::ShuttingDown, Ran::Unknown, StatusCode::GATEWAY_TIMEOUT)]
#[case(Cause::Coverage, Ran::Yes, StatusCode::BAD_GATEWAY)]
#[case(Cause::UpstreamFailed, Ran::Unknown, StatusCode::BAD_GATEWAY)]
#[case(Cause::NoRoute, Ran::No, StatusCode::NOT_FOUND)]
fn status_depends_on_whether_the_request_ran(
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

/// Simulates requests that arrive every `gap_ms` at a server that serves them
/// one after the other in `service_ms` each, and returns how many were answered
/// within the objective.
fn simulate(gap_ms: u64, service_ms: u64, mut limiter: Option<ConcurrencyLimiter>) -> usize {
    let mut ends: Vec<(u64, u64)> = Vec::new();
    let mut in_time = 0;
    let mut free_at = 0;
    for arrived in (0..10_000).step_by(gap_ms as usize) {
        let (ended, running): (Vec<_>, Vec<_>) = ends.iter().partition(|(_, end)| *end <= arrived);
        ends = running;
        for (began, end) in ended {
            in_time += usize::from(end - began <= OBJECTIVE.0);
            if let Some(l) = limiter.as_mut() {
                l.finish(Some(Millis(end - began)), OBJECTIVE, Millis(end));
            }
        }
        if limiter.as_mut().is_none_or(ConcurrencyLimiter::admit) {
            free_at = free_at.max(arrived) + service_ms;
            ends.push((arrived, free_at));
        }
    }
    in_time
}

#[test]
fn under_overload_the_limiter_keeps_most_of_the_goodput() {
    // Twice the capacity of the server, which can serve 500 of the 1,000 requests.
    let limited = simulate(10, 20, Some(ConcurrencyLimiter::default()));
    let unlimited = simulate(10, 20, None);
    assert!(unlimited < 50, "{unlimited}");
    assert!(limited > 350, "{limited}");
}

#[test]
fn without_overload_the_limiter_refuses_nothing() {
    assert_eq!(
        simulate(10, 8, Some(ConcurrencyLimiter::default())),
        simulate(10, 8, None)
    );
}

#[test]
fn a_disconnected_caller_frees_its_slot() {
    let mut limiter = ConcurrencyLimiter::default();
    let limit = limiter.limit() as usize;
    assert!((0..limit).all(|_| limiter.admit()));
    assert!(!limiter.admit());
    limiter.release();
    assert!(limiter.admit());
}

/// Requests of a window of ten seconds, distributed over the daemons in turn,
/// each followed by a retry if the budget has a token.
#[rstest]
#[case::few_daemons(7, 1_600)]
#[case::many_daemons(83, 1_600)]
#[case::more_daemons_than_slack(400, 3_200)]
fn daemons_share_the_budget_of_a_service(#[case] daemons: usize, #[case] requests: usize) {
    const SLACK: f64 = 206.0;
    let new = || {
        let budget = Budget::starting_with(0.0);
        budget.set_limit(token_limit(SLACK, daemons as f64));
        budget
    };
    let budgets: Vec<Budget> = (0..daemons).map(|_| new()).collect();
    let run = |count: usize| {
        let retried = (0..count).filter(|n| {
            let budget = &budgets[n % daemons];
            budget.earn(18);
            budget.spend()
        });
        retried.count()
    };
    let retries = run(requests);
    assert!(retries > requests / 10, "{retries} of {requests}");
    assert!(
        (retries as f64) < requests as f64 * 0.2 + SLACK,
        "{retries} of {requests}"
    );
    // Tokens saved up in idle times are spent within the next window.
    budgets
        .iter()
        .for_each(|b| (0..10).for_each(|_| b.earn(18)));
    let retries = run(requests);
    assert!(
        (retries as f64) < requests as f64 * 0.2 + SLACK,
        "{retries} of {requests}"
    );
}

/// An upstream resets connections beyond those that it accepts from all
/// daemons together.
#[rstest]
#[case::few_daemons(560, 7)]
#[case::about_one_each(62, 59)]
fn daemons_share_the_connections_of_an_upstream(#[case] accepted: usize, #[case] daemons: usize) {
    let share = connection_share(accepted, daemons as f64);
    assert!(share >= 1);
    assert!(share * daemons <= accepted);
}
