//! The choice of one snapshot, and the merge of its parts.

use query::{Merge, Version, choose_version};
use rstest::rstest;
use schema::Part;
use upstreams::{Holding, Ran};

fn holding(partitioning: &str, snapshot: u64, shards: &[&str]) -> Holding {
    let shards = shards.iter().map(|s| (*s).to_owned()).collect();
    Holding {
        partitioning: partitioning.to_owned(),
        snapshot,
        shards,
    }
}

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|s| (*s).to_owned()).collect()
}

#[rstest]
#[case::most_shards_win(&[holding("p", 1, &["a", "b"]), holding("p", 2, &["a"])], &[], Some(1))]
#[case::the_newest_of_equals(&[holding("p", 1, &["a", "b"]), holding("p", 2, &["a", "b"])], &[], Some(2))]
#[case::groups_add_up(&[holding("p", 1, &["a"]), holding("p", 2, &["a"]), holding("p", 1, &["b"])], &[], Some(1))]
#[case::another_map_does_not_count(&[holding("q", 5, &["a", "b"]), holding("p", 1, &["a"])], &[], Some(1))]
#[case::a_tried_one_does_not_count(&[holding("p", 1, &["a", "b"]), holding("p", 2, &["a"])], &[1], Some(2))]
#[case::unasked_shards_do_not_count(&[holding("p", 1, &["x", "y"])], &[], None)]
fn the_snapshot_with_the_most_shards_is_chosen(
    #[case] holdings: &[Holding],
    #[case] tried: &[u64],
    #[case] expected: Option<u64>,
) {
    let chosen = choose_version("p", &names(&["a", "b"]), holdings, tried);
    assert_eq!(chosen.map(|v| v.snapshot), expected);
}

fn part(shard: &str) -> Part {
    Part {
        request_id: "r".to_owned(),
        shard: shard.to_owned(),
        snapshot: 1,
        partitioning: "p".to_owned(),
        covered: true,
        ran: Ran::Yes.into(),
        rows: b"[1]".to_vec(),
        ..Part::default()
    }
}

#[rstest]
#[case::own(part("a"), 1)]
#[case::other_request(Part { request_id: "x".to_owned(), ..part("a") }, 0)]
#[case::other_snapshot(Part { snapshot: 2, ..part("a") }, 0)]
#[case::other_map(Part { partitioning: "q".to_owned(), ..part("a") }, 0)]
#[case::unasked_shard(part("x"), 0)]
#[case::malformed_rows(Part { rows: b"[1".to_vec(), ..part("a") }, 0)]
fn only_parts_of_the_same_search_merge(#[case] part: Part, #[case] covered: usize) {
    let version = Version {
        partitioning: "p".to_owned(),
        snapshot: 1,
    };
    let mut merge = Merge::new("r", &version, &names(&["a", "b"]));
    merge.add(part);
    assert_eq!(merge.covered_count(), covered);
    let (names, missing, rows) = merge.finish();
    assert_eq!(names.len(), covered);
    assert_eq!(missing.len(), 2 - covered);
    assert_eq!(rows.len(), covered);
}

/// A search that was given up at one owner, or in one round, may have run
/// there, whatever its parts say.
#[rstest]
#[case::nothing_ran(Ran::No, Ran::No)]
#[case::a_lost_call(Ran::Unknown, Ran::Unknown)]
#[case::an_earlier_round(Ran::Yes, Ran::Yes)]
fn what_ran_beside_the_parts_counts(#[case] beside: Ran, #[case] expected: Ran) {
    let version = Version {
        partitioning: "p".to_owned(),
        snapshot: 1,
    };
    let mut merge = Merge::new("r", &version, &names(&["a"]));
    merge.add(Part {
        covered: false,
        reason: "overloaded".to_owned(),
        ran: Ran::No.into(),
        ..part("a")
    });
    merge.note_discarded(beside);
    assert_eq!(merge.ran(), expected);
    assert_eq!(merge.main_failure().ran, expected);
}
