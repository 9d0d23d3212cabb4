//! The attempts that go with a request to another daemon.

use std::collections::HashMap;

use rstest::rstest;
use upstreams::AttemptsMade;

/// Bytes of the largest form, however many shards a search has.
const LARGEST_BYTES: usize = 64;

fn made(elsewhere: usize, by_shard: &[(&str, usize)]) -> AttemptsMade {
    let by_shard = by_shard.iter();
    AttemptsMade {
        elsewhere,
        by_shard: by_shard.map(|(s, n)| ((*s).to_owned(), *n)).collect(),
    }
}

#[rstest]
#[case::none(made(0, &[]))]
#[case::other_daemons_only(made(2, &[]))]
#[case::hedged(made(0, &[("a", 1), ("b", 2), ("c", 1)]))]
#[case::after_another_daemon(made(1, &[("a", 1), ("b", 3)]))]
#[case::one_not_sent_after_all(made(0, &[("a", 0), ("b", 1)]))]
fn no_attempt_is_lost_in_the_compact_form(#[case] attempts: AttemptsMade) {
    let compact = attempts.compact();
    for shard in ["a", "b", "c"] {
        assert!(compact.on(shard) >= attempts.on(shard), "{compact:?}");
    }
    for shard in attempts.by_shard.keys() {
        assert_eq!(compact.on(shard), attempts.on(shard), "{compact:?}");
    }
}

#[test]
fn what_is_sent_along_does_not_grow_with_the_shards() {
    let by_shard: HashMap<String, usize> = (0..510).map(|n| (format!("shard-{n}"), 1)).collect();
    let attempts = AttemptsMade {
        elsewhere: 0,
        by_shard,
    };
    let text = serde_json::to_string(&attempts.compact()).unwrap();
    assert!(text.len() <= LARGEST_BYTES, "{text}");
}
