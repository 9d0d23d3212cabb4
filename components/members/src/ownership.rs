//! Rendezvous hashing: every daemon computes the same ranking from the same
//! members.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;

const HASH_SEED: u64 = 0x636f_6c74_7366_6f6f;

/// Ranks members as owners of `key`: those of the preferred failure domain
/// first, then by the hash of key and name.
pub fn rank<'a>(
    key: &str,
    domain: &str,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let score = |m: &Member| xxh3_64_with_seed(format!("{key}\0{}", m.id).as_bytes(), HASH_SEED);
    let mut ranked: Vec<(bool, u64, &Member)> =
        members.map(|m| (m.domain != domain, score(m), m)).collect();
    ranked.sort_by(|a, b| (a.0, b.1, &a.2.id).cmp(&(b.0, a.1, &b.2.id)));
    ranked.into_iter().map(|(_, _, m)| m).collect()
}
