//! Selects the snapshot that all parts of a search are read from.

use std::collections::HashSet;

use upstreams::{DataVersion, Holding};

/// Chooses the snapshot that the most requested shards can serve, and the
/// newest if several are equal. Snapshots in `excluded` are not considered.
pub fn choose_version(
    partitioning: &str,
    requested: &[String],
    holdings: &[Holding],
    excluded: &[u64],
) -> Option<DataVersion> {
    let requested: HashSet<&str> = requested.iter().map(String::as_str).collect();
    let usable = holdings
        .iter()
        .filter(|h| h.partitioning == partitioning && !excluded.contains(&h.snapshot));
    let mut counts: Vec<(u64, HashSet<&str>)> = Vec::new();
    for holding in usable {
        let shards = holding
            .shards
            .iter()
            .map(String::as_str)
            .filter(|s| requested.contains(s));
        match counts
            .iter_mut()
            .find(|(snapshot, _)| *snapshot == holding.snapshot)
        {
            Some((_, set)) => set.extend(shards),
            None => counts.push((holding.snapshot, shards.collect())),
        }
    }
    let best = counts
        .into_iter()
        .max_by_key(|(snapshot, set)| (set.len(), *snapshot));
    best.filter(|(_, set)| !set.is_empty())
        .map(|(snapshot, _)| DataVersion {
            partitioning: partitioning.to_owned(),
            snapshot,
        })
}
