//! The head: the one value of the store whose compare-and-swap commits.

use std::collections::BTreeMap;

use clock::Millis;
use serde::{Deserialize, Serialize};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "head";

const HISTORY_LENGTH: usize = 32;

/// The services at one revision and the most recent commits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Increases by one with every commit.
    pub revision: u64,
    /// Where each service's declaration is stored.
    pub services: BTreeMap<String, ServiceRef>,
    /// The most recent commits, newest last.
    pub history: Vec<Commit>,
}

/// Where a service's declaration is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRef {
    /// Revision in which it last changed.
    pub revision: u64,
    /// Key of its value in the store.
    #[serde(rename = "blob")]
    pub blob_key: String,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// The revision that the change made.
    pub revision: u64,
    /// Wall-clock time of the daemon that committed.
    pub committed_ms: Millis,
    /// Identifier that the operator's tool gave the change.
    #[serde(rename = "operation")]
    pub operation_id: String,
    /// The change in sentences.
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

    /// Appends a commit and forgets the oldest beyond the kept number.
    pub(crate) fn push_commit(&mut self, commit: Commit) {
        self.revision = commit.revision;
        self.history.push(commit);
        let excess = self.history.len().saturating_sub(HISTORY_LENGTH);
        self.history.drain(..excess);
    }
}
