//! What an upstream does, set at its start and while it runs.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Answers correctly.
    #[default]
    Normal,
    /// Answers with what belongs to the request before.
    Crossed,
    /// Answers every request with status 500 after it ran.
    Failing,
    /// Takes requests and never answers.
    Hanging,
    /// Refuses every request without running it.
    Shedding,
}

/// How an upstream says that it is leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Leaving {
    /// It is not leaving.
    #[default]
    No,
    /// In the headers of its answers; its health endpoint denies it.
    Header,
    /// In its health endpoint.
    Health,
}

/// What an upstream does; every field can be changed while it runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that wait for a slot before further ones are refused.
    pub queue: usize,
    /// Open connections before further ones are closed.
    pub connections: usize,
    /// Delay of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Share of requests that are stragglers.
    pub straggler_share: f64,
    /// How much slower stragglers are.
    pub straggler_factor: f64,
    /// Factor on every service time.
    pub slow_factor: f64,
    /// The snapshots that are held, as in the health report.
    pub holds: Value,
    /// How it answers.
    pub mode: Mode,
    /// How it says that it is leaving.
    pub leaving: Leaving,
    /// State in the health report, whatever the truth is.
    pub health: String,
    /// Whether executions are recorded one by one.
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
