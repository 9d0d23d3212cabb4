//! The choice of a search's snapshot, and the merge of its parts.

use query::{Merge, choose_version};
use rstest::rstest;
use schema::Part;
use upstreams::{DataVersion, Holding, Ran};

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
#[case::the_newest_of_equals_wins(&[holding("p", 1, &["a", "b"]), holding("p", 2, &["a", "b"])], &[], Some(2))]
#[case::groups_add_up(&[holding("p", 1, &["a"]), holding("p", 2, &["a"]), holding("p", 1, &["b"])], &[], Some(1))]
#[case::another_map_does_not_count(&[holding("q", 5, &["a", "b"]), holding("p", 1, &["a"])], &[], Some(1))]
#[case::an_excluded_snapshot_does_not_count(&[holding("p", 1, &["a", "b"]), holding("p", 2, &["a"])], &[1], Some(2))]
#[case::unrequested_shards_do_not_count(&[holding("p", 1, &["x", "y"])], &[], None)]
fn the_snapshot_with_the_most_shards_is_chosen(
    #[case] holdings: &[Holding],
    #[case] excluded: &[u64],
    #[case] expected: Option<u64>,
) {
    let chosen = choose_version("p", &names(&["a", "b"]), holdings, excluded);
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
#[case::matching_part(part("a"), 1)]
#[case::other_request(Part { request_id: "x".to_owned(), ..part("a") }, 0)]
#[case::other_snapshot(Part { snapshot: 2, ..part("a") }, 0)]
#[case::other_map(Part { partitioning: "q".to_owned(), ..part("a") }, 0)]
#[case::unrequested_shard(part("x"), 0)]
#[case::malformed_rows(Part { rows: b"[1".to_vec(), ..part("a") }, 0)]
fn only_parts_of_the_same_search_are_merged(#[case] part: Part, #[case] covered: usize) {
    let version = DataVersion {
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

/// A search may have run at an owner whose call was abandoned, or in a
/// discarded round, even if its remaining parts did not run.
#[rstest]
#[case::nothing_ran(Ran::No, Ran::No)]
#[case::an_abandoned_call(Ran::Unknown, Ran::Unknown)]
#[case::an_earlier_round(Ran::Yes, Ran::Yes)]
fn work_without_a_part_counts_as_run(#[case] discarded: Ran, #[case] expected: Ran) {
    let version = DataVersion {
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
    merge.record_discarded(discarded);
    assert_eq!(merge.ran(), expected);
    assert_eq!(merge.main_failure().ran, expected);
}
