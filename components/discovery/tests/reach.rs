//! Whether polls of peers show that all can be reached while the store is silent.

use clock::Millis;
use discovery::Reach;
use rstest::rstest;

fn reach(outcomes: &[bool]) -> Reach {
    let mut reach = Reach::default();
    for (n, is_reached) in outcomes.iter().enumerate() {
        reach.record(*is_reached, Millis(n as u64 * 400));
    }
    reach
}

/// A daemon that is cut off with some others must not take the store for silent to all.
#[rstest]
#[case::all_reached(&[true; 8], true)]
#[case::one_has_ended(&[true, true, true, false, true, true, true, true], true)]
#[case::too_few_polls(&[true; 5], false)]
#[case::some_are_away(&[true, true, false, true, true, false, true, true], false)]
#[case::none_reached(&[false; 8], false)]
#[case::reached_again(&[false, false, true, true, true, true, true, true, true, true], true)]
fn all_peers_are_reachable(#[case] outcomes: &[bool], #[case] expected: bool) {
    assert_eq!(reach(outcomes).is_whole(Millis(4_000)), expected);
}

/// Polls before a pause of the process tell nothing about the time after it.
#[test]
fn old_polls_do_not_count() {
    assert!(!reach(&[true; 8]).is_whole(Millis(20_000)));
}
