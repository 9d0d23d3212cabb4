//! Behaviour of an upstream, set at its start and changed while it runs.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Answers correctly.
    #[default]
    Normal,
    /// Answers with the response of the previous request.
    Crossed,
    /// Runs every request and answers it with status 500.
    Failing,
    /// Accepts requests without answering them for 600 s.
    Hanging,
    /// Refuses every request without running it.
    Shedding,
}

/// How an upstream announces that it is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Leaving {
    /// It is not leaving.
    #[default]
    No,
    /// In the headers of its answers, but not in its health endpoint.
    Header,
    /// In its health endpoint.
    Health,
}

/// Behaviour of an upstream; every field can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Number of requests that run at a time.
    pub slots: usize,
    /// Number of requests that may wait for a slot; further ones are refused.
    pub queue: usize,
    /// Number of connections that may be open; further ones are closed.
    pub connections: usize,
    /// Delay of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Share of requests that are stragglers.
    pub straggler_share: f64,
    /// Factor on the service time of stragglers.
    pub straggler_factor: f64,
    /// Factor on every service time.
    pub slow_factor: f64,
    /// Held snapshots, as the health report lists them.
    pub holds: Value,
    /// How it answers.
    pub mode: Mode,
    /// How it announces that it is leaving.
    pub leaving: Leaving,
    /// State in the health report, independent of the real state;
    /// `Leaving::Health` overrides it.
    pub health: String,
    /// Whether each execution is recorded, not just counted.
    pub record: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 2,
            queue: 4,
            connections: 100,
            connect_ms: 1,
            service_ms: 5.0,
            straggler_share: 0.0,
            straggler_factor: 20.0,
            slow_factor: 1.0,
            holds: json!([{ "partitioning": "p1", "snapshot": 1 }]),
            mode: Mode::Normal,
            leaving: Leaving::No,
            health: "ok".to_owned(),
            record: true,
        }
    }
}
