//! The head: the store value whose compare-and-swap commits a revision.

use std::collections::BTreeMap;

use clock::Millis;
use serde::{Deserialize, Serialize};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "head";

const MAX_HISTORY_COMMITS: usize = 32;

/// References to the services at one revision, and the most recent commits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Increases by one with every commit.
    pub revision: u64,
    /// References to the stored declarations, by service name.
    pub services: BTreeMap<String, ServiceRef>,
    /// The most recent commits, newest last.
    pub history: Vec<Commit>,
}

/// A reference to the stored declaration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRef {
    /// Revision in which the declaration last changed.
    pub revision: u64,
    /// Key of the declaration in the store.
    #[serde(rename = "blob")]
    pub blob_key: String,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The revision that the change created.
    pub revision: u64,
    /// Wall-clock time on the daemon that committed the change.
    pub committed_ms: Millis,
    /// Identifier that the operator's client assigned to the change.
    #[serde(rename = "operation")]
    pub operation_id: String,
    /// Sentences that describe the change.
    pub changes: Vec<String>,
}

impl Head {
    /// Returns the commit of an operation if it is among the recent ones.
    pub fn find_operation(&self, operation_id: &str) -> Option<&Commit> {
        self.history
            .iter()
            .rev()
            .find(|c| c.operation_id == operation_id)
    }

    /// Returns the commits above a revision, oldest first.
    pub fn commits_above(&self, revision: u64) -> impl Iterator<Item = &Commit> {
        self.history.iter().filter(move |c| c.revision > revision)
    }

    /// Appends a commit and drops the oldest ones above the history limit.
    pub(crate) fn push_commit(&mut self, commit: Commit) {
        self.revision = commit.revision;
        self.history.push(commit);
        let excess = self.history.len().saturating_sub(MAX_HISTORY_COMMITS);
        self.history.drain(..excess);
    }
}
