//! Choice of the one snapshot that a search is pinned to.

use std::collections::HashSet;

use upstreams::Holding;

/// A snapshot of one partitioning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Label of the shard map.
    pub partitioning: String,
    /// Number of the snapshot.
    pub snapshot: u64,
}

/// Chooses the snapshot that the most of the asked shards can serve; the
/// newest of several. Snapshots in `except` are not considered.
pub fn choose_version(
    partitioning: &str,
    asked: &[String],
    holdings: &[Holding],
    except: &[u64],
) -> Option<Version> {
    let asked: HashSet<&str> = asked.iter().map(String::as_str).collect();
    let usable = holdings
        .iter()
        .filter(|h| h.partitioning == partitioning && !except.contains(&h.snapshot));
    let mut counts: Vec<(u64, HashSet<&str>)> = Vec::new();
    for holding in usable {
        let shards = holding
            .shards
            .iter()
            .map(String::as_str)
            .filter(|s| asked.contains(s));
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
        .map(|(snapshot, _)| Version {
            partitioning: partitioning.to_owned(),
            snapshot,
        })
}
