//! How often a request was sent to upstreams: the limit of its attempts counts those of
//! all daemons that served it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// The attempts that were made for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptsMade {
    /// Attempts that other daemons may have made on each shard.
    #[serde(default)]
    pub elsewhere: usize,
    /// Attempts on single shards, by name.
    #[serde(default)]
    pub by_shard: HashMap<String, usize>,
}

impl AttemptsMade {
    /// Returns the attempts that may have been made on a shard.
    pub fn on(&self, shard: &str) -> usize {
        self.elsewhere + self.by_shard.get(shard).copied().unwrap_or(0)
    }

    /// Returns the attempts on the shard with the fewest.
    pub fn fewest(&self) -> usize {
        self.elsewhere + self.by_shard.values().min().copied().unwrap_or(0)
    }

    /// Returns the same attempts in a form that lists only the shards with more than the
    /// fewest; those that are not listed count as sent to.
    pub fn compact(&self) -> Self {
        let fewest = self.fewest();
        let beyond = |count: usize| (self.elsewhere + count).saturating_sub(fewest);
        let by_shard = self.by_shard.iter();
        let by_shard = by_shard.map(|(shard, count)| (shard.clone(), beyond(*count)));
        Self {
            elsewhere: fewest,
            by_shard: by_shard.filter(|(_, beyond)| *beyond > 0).collect(),
        }
    }

    /// Counts a request that is sent to a shard.
    pub(crate) fn add(&mut self, shard: &str) {
        *self.by_shard.entry(shard.to_owned()).or_default() += 1;
    }

    /// Subtracts a request that turned out not to have been sent.
    pub(crate) fn remove(&mut self, shard: &str) {
        if let Some(count) = self.by_shard.get_mut(shard) {
            *count = count.saturating_sub(1);
        }
    }
}
