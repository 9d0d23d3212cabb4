//! Selection of the daemons that watch the store and relay its changes.

use std::net::SocketAddr;

use crate::entry::InstanceEntry;

/// Minimum number of watchers in a failure domain, so that one of them may
/// fail.
const MIN_WATCHERS: usize = 2;
/// Daemons of a failure domain per watcher.
const DAEMONS_PER_WATCHER: usize = 16;

/// Returns the watchers that a daemon may poll, all of its failure domain;
/// `None` if it watches the store itself, because it is one of them or its
/// registration is not known.
///
/// All daemons with the same set of registrations choose the same watchers.
pub fn watchers<'a>(
    instances: impl Iterator<Item = &'a InstanceEntry>,
    me: SocketAddr,
) -> Option<Vec<SocketAddr>> {
    let all: Vec<&InstanceEntry> = instances.collect();
    let domain = &all.iter().find(|i| i.address == me)?.domain;
    let mut candidates: Vec<&InstanceEntry> = all
        .iter()
        .copied()
        .filter(|i| i.domain == *domain)
        .collect();
    candidates.sort_by(|a, b| a.name.cmp(&b.name));
    let count = candidates.len().div_ceil(DAEMONS_PER_WATCHER);
    candidates.truncate(count.max(MIN_WATCHERS));
    let chosen: Vec<SocketAddr> = candidates.iter().map(|i| i.address).collect();
    (!chosen.contains(&me)).then_some(chosen)
}
