//! Groups of upstreams that have the same owner.

use crate::declaration::Service;

/// Maximum number of upstreams in a group, unless the replicas of one shard
/// exceed it.
pub const MAX_GROUP_UPSTREAMS: usize = 16;

/// A set of upstreams with one owner, and the shards that they serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Indexes of the shards in the declaration.
    pub shards: Vec<usize>,
    /// Indexes of the upstreams in the declaration.
    pub upstreams: Vec<usize>,
}

/// Divides a service into groups; `replicas` holds the upstream indexes of each
/// shard.
///
/// Shards that share an upstream stay in one group up to the size limit.
/// Above the limit a group is split, and a shared upstream belongs to the group
/// of the first shard that names it.
pub(crate) fn divide(service: &Service, replicas: &[Vec<usize>]) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    let mut assigned = vec![false; service.upstreams.len()];
    for shards in connected_components(service.upstreams.len(), replicas) {
        let size = shards
            .iter()
            .flat_map(|&s| &replicas[s])
            .filter(|&&u| !assigned[u])
            .count();
        let fits = groups
            .last()
            .is_some_and(|g| g.upstreams.len() + size <= MAX_GROUP_UPSTREAMS);
        if !fits {
            groups.push(Group::default());
        }
        for shard in shards {
            add_shard(&mut groups, shard, &replicas[shard], &mut assigned);
        }
    }
    groups
}

fn add_shard(groups: &mut Vec<Group>, shard: usize, replicas: &[usize], assigned: &mut [bool]) {
    let unassigned = replicas.iter().filter(|&&u| !assigned[u]).count();
    let is_full = groups
        .last()
        .is_none_or(|g| g.upstreams.len() + unassigned > MAX_GROUP_UPSTREAMS);
    let has_shards = groups.last().is_some_and(|g| !g.shards.is_empty());
    if is_full && has_shards {
        groups.push(Group::default());
    }
    let Some(group) = groups.last_mut() else {
        return;
    };
    group.shards.push(shard);
    for &upstream in replicas {
        if !assigned[upstream] {
            assigned[upstream] = true;
            group.upstreams.push(upstream);
        }
    }
}

/// Returns the connected components of shards that share upstreams, in the order
/// of their first shards.
fn connected_components(upstreams: usize, replicas: &[Vec<usize>]) -> Vec<Vec<usize>> {
    let mut parent: Vec<usize> = (0..upstreams).collect();
    for list in replicas {
        for pair in list.windows(2) {
            let (a, b) = (
                find_root(&mut parent, pair[0]),
                find_root(&mut parent, pair[1]),
            );
            parent[b] = a;
        }
    }
    let mut component_index = vec![usize::MAX; upstreams];
    let mut components: Vec<Vec<usize>> = Vec::new();
    for (shard, list) in replicas.iter().enumerate() {
        let Some(&first) = list.first() else { continue };
        let root = find_root(&mut parent, first);
        if component_index[root] == usize::MAX {
            component_index[root] = components.len();
            components.push(Vec::new());
        }
        components[component_index[root]].push(shard);
    }
    components
}

fn find_root(parent: &mut [usize], mut node: usize) -> usize {
    while parent[node] != node {
        parent[node] = parent[parent[node]];
        node = parent[node];
    }
    node
}
