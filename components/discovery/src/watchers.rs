//! Which daemons watch the store, and from which the others learn.

use std::net::SocketAddr;

use crate::entry::InstanceEntry;

/// Daemons of a failure domain that watch the store at least, so that one of
/// them may fail.
const LEAST_WATCHERS: usize = 2;
/// Daemons of a failure domain for each that watches.
const DAEMONS_PER_WATCHER: usize = 16;

/// The watchers that a daemon may learn from, all of its failure domain;
/// `None` if it watches the store itself, as one of them or since it is not
/// known where it belongs.
///
/// All daemons that know the same registrations choose the same watchers.
pub fn watchers<'a>(
    instances: impl Iterator<Item = &'a InstanceEntry>,
    me: SocketAddr,
) -> Option<Vec<SocketAddr>> {
    let all: Vec<&InstanceEntry> = instances.collect();
    let domain = &all.iter().find(|i| i.address == me)?.domain;
    let mut members: Vec<&InstanceEntry> = all
        .iter()
        .copied()
        .filter(|i| i.domain == *domain)
        .collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    let count = members.len().div_ceil(DAEMONS_PER_WATCHER);
    members.truncate(count.max(LEAST_WATCHERS));
    let chosen: Vec<SocketAddr> = members.iter().map(|i| i.address).collect();
    (!chosen.contains(&me)).then_some(chosen)
}
