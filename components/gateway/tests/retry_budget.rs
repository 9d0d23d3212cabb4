//! The retry budget of a service over all daemons together and over their
//! restarts: what they send beyond the first attempt of each request within one
//! window stays within the ratio and the slack.

use gateway::token_limit;
use rstest::rstest;
use upstreams::Budget;

const SLACK: f64 = 206.0;
const RATIO: f64 = 0.2;
/// Hundredths of a token that a request earns.
const EARNED_PERCENT: u8 = 18;
/// Requests by daemon in the idle time before the window, in which nothing is
/// retried.
const IDLE_REQUESTS: usize = 200;
const WORLDS: usize = 200;

fn new_budget(daemons: usize) -> Budget {
    let budget = Budget::starting_with(0.0);
    budget.set_limit(token_limit(SLACK, daemons as f64));
    budget
}

/// Spends whatever the budget gives, as requests that all fail would.
fn spend_all(budget: &Budget) -> usize {
    (0..100).filter(|_| budget.spend()).count()
}

/// Returns the retries of a window in which the daemons get `requests` in turn and
/// each one is replaced `restarts` times.
fn retries_in_window(daemons: usize, requests: usize, restarts: usize) -> usize {
    let mut retries = 0;
    for daemon in 0..daemons {
        let mut budget = new_budget(daemons);
        (0..IDLE_REQUESTS).for_each(|_| budget.earn(EARNED_PERCENT));
        retries += spend_all(&budget);
        for n in 0..requests / daemons + usize::from(daemon < requests % daemons) {
            budget.earn(EARNED_PERCENT);
            retries += spend_all(&budget);
            if n < restarts {
                budget = new_budget(daemons);
                retries += spend_all(&budget);
            }
        }
        for _ in 0..restarts {
            retries += spend_all(&new_budget(daemons));
        }
    }
    retries
}

#[rstest]
#[case::seven_daemons(7, 42, 0)]
#[case::rolling_restart(7, 42, 1)]
#[case::daemons_that_restart_again_and_again(7, 42, 5)]
#[case::as_many_daemons_as_slack(206, 0, 0)]
#[case::more_daemons_than_slack(300, 0, 0)]
#[case::twice_as_many_daemons_as_slack(400, 0, 0)]
#[case::many_daemons_in_a_rolling_restart(400, 1_200, 1)]
fn all_daemons_keep_to_the_budget_together(
    #[case] daemons: usize,
    #[case] requests: usize,
    #[case] restarts: usize,
) {
    let allowed = requests as f64 * RATIO + SLACK;
    let most = (0..WORLDS).map(|_| retries_in_window(daemons, requests, restarts));
    let most = most.max().unwrap_or_default();
    println!("at most {most} of {allowed:.0} allowed");
    assert!(most as f64 <= allowed, "{most} of {allowed:.0}");
    assert!(most > 0, "saved-up tokens are used");
}
