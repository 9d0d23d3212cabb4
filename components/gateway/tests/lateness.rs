//! Which searches of workspaces are refused because too few shards are in time.

use clock::Millis;
use gateway::late_wait;
use rstest::rstest;
use upstreams::ExpectedWait;

/// Guards against searches that run on many shards and then miss the required coverage,
/// and against refusals of those that would reach it.
#[rstest]
#[case::all_in_time(&[], 3, 3, None)]
#[case::one_late_of_all_required(&[50], 3, 3, Some(50))]
#[case::one_late_is_not_required(&[50], 3, 2, None)]
#[case::the_sooner_of_two_is_enough(&[90, 50], 3, 2, Some(50))]
#[case::both_are_required(&[90, 50], 3, 3, Some(90))]
#[case::single_service(&[400], 1, 1, Some(400))]
fn a_search_is_refused_if_too_few_shards_are_in_time(
    #[case] late: &[u64],
    #[case] total: usize,
    #[case] required: usize,
    #[case] wait: Option<u64>,
) {
    let late = late.iter().map(|ms| ExpectedWait {
        wait: Millis(*ms),
        is_late: true,
    });
    let in_time = ExpectedWait {
        wait: Millis(10),
        is_late: false,
    };
    let mut waits: Vec<ExpectedWait> = late.collect();
    waits.resize(total, in_time);
    assert_eq!(late_wait(&waits, total, required), wait.map(Millis));
}
