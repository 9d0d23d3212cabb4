//! The choice of a workspace's allocator.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the allocator of a workspace by rendezvous hashing: daemons with the same list
/// choose the same one, and a change of the list moves only the workspaces of the daemons
/// that were added or removed. `None` if the list is empty.
pub fn choose<'a>(workspace: &str, daemons: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    daemons.max_by_key(|daemon| (weight(workspace, daemon), *daemon))
}

fn weight(workspace: &str, daemon: &str) -> u64 {
    let mut text = Vec::with_capacity(workspace.len() + daemon.len() + 1);
    text.extend_from_slice(workspace.as_bytes());
    text.push(b'\n');
    text.extend_from_slice(daemon.as_bytes());
    xxh3_64(&text)
}
