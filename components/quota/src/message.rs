//! The messages between a daemon and an allocator.

use clock::Millis;
use serde::{Deserialize, Serialize};

/// What a daemon reports to an allocator and asks of it, for all workspaces that wait.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the daemon.
    pub daemon: String,
    /// Random number of the daemon's process.
    pub incarnation: u64,
    /// Rises with each message of an incarnation.
    pub sequence: u64,
    /// One entry for each workspace.
    pub requests: Vec<Request>,
    /// Registered daemons of builds that have no quotas, which the sender passed over in
    /// the choice of the allocator.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub without_quotas: Vec<String>,
}

/// The part of a [`Message`] for one workspace. All totals are cumulative within an
/// incarnation, so that a repeated message changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens that the daemon asks for.
    pub wanted: u64,
    /// Tokens among them that requests wait for and will use at once.
    #[serde(default)]
    pub waiting: u64,
    /// Requests admitted with a token.
    pub used_total: u64,
    /// Tokens received in answers.
    pub received_total: u64,
    /// Tokens given back or expired without use.
    pub returned_total: u64,
    /// Admitted requests that did not run, so that the daemon has their tokens again.
    #[serde(default)]
    pub refunded_total: u64,
    /// Requests admitted by the daemon's share instead of a token.
    #[serde(default)]
    pub shared_total: u64,
    /// The share that the daemon may still use, in requests a second.
    #[serde(default)]
    pub share: f64,
    /// Recent requests a second, refused ones included.
    pub demand: f64,
}

impl Request {
    /// Returns the tokens that the daemon holds.
    pub(crate) fn held(&self) -> u64 {
        let given = self.received_total.saturating_add(self.refunded_total);
        let gone = self.used_total.saturating_add(self.returned_total);
        given.saturating_sub(gone)
    }
}

/// The answer to a [`Message`]; workspaces of which the receiver is not the allocator are
/// left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// One entry for each workspace.
    pub grants: Vec<Grant>,
}

/// The part of an [`Answer`] for one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens for the daemon.
    pub granted: u64,
    /// Requests a second that the daemon may admit by itself while it can't reach the
    /// allocator.
    pub share: f64,
    /// Time until a token is expected, if fewer were granted than requests wait.
    pub wait_ms: Millis,
}
