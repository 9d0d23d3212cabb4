//! The declarations that operators keep in version control.

use std::net::SocketAddr;

use clock::Millis;
use garde::Validate;
use serde::{Deserialize, Serialize};
use settings::{Finding, Pass};

use crate::rules;

/// What a service gives up first when it can't have both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Objective {
    /// Answers at the deadline with what there is.
    #[default]
    Latency,
    /// Retries longer and answers as completely as possible.
    Coverage,
}

/// All services of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declarations {
    /// The services; names and addresses are unique among them.
    pub services: Vec<Service>,
}

impl Validate for Declarations {
    type Context = Pass;

    fn validate_into(
        &self,
        pass: &Pass,
        parent: &mut dyn FnMut() -> garde::Path,
        report: &mut garde::Report,
    ) {
        rules::check(self, *pass, &parent(), report);
    }
}

/// A service: the shards that a search asks and the rules for its answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, as in the callers' paths.
    pub name: String,
    /// What is given up first.
    #[serde(default)]
    pub objective: Objective,
    /// Time for an answer if the caller names none, in milliseconds.
    pub deadline_ms: Millis,
    /// Share of the shards below which a search is refused, in percent.
    #[serde(default = "defaults::coverage_percent")]
    pub coverage_percent: u8,
    /// Label of the assignment of records to shards.
    pub partitioning: String,
    /// Whether the service takes bookings.
    #[serde(default)]
    pub bookings: bool,
    /// Time for which a booking's key is remembered, in milliseconds.
    #[serde(default = "defaults::retention_ms")]
    pub retention_ms: Millis,
    /// Searches that one daemon runs at a time.
    #[serde(default = "defaults::concurrency")]
    pub concurrency: usize,
    /// Sub-requests that wait for a slot in one group of upstreams.
    #[serde(default = "defaults::queue")]
    pub queue: usize,
    /// Hedged sub-requests, in percent of the needed ones.
    #[serde(default = "defaults::hedge_percent")]
    pub hedge_percent: u8,
    /// Retried sub-requests, in percent of the needed ones.
    #[serde(default = "defaults::retry_percent")]
    pub retry_percent: u8,
    /// Requests that an upstream runs at a time.
    pub slots: usize,
    /// Connections that an upstream accepts.
    pub connections: usize,
    /// The shards, each with its replicas.
    pub shards: Vec<Shard>,
    /// The upstreams that hold the shards.
    pub upstreams: Vec<Upstream>,
}

/// A part of a service's records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Name, unique in the service.
    pub name: String,
    /// Names of the upstreams that hold a replica.
    pub upstreams: Vec<String>,
}

/// A process that answers for shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name, unique in the service.
    pub name: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
    /// Whether it takes no new work.
    #[serde(default, skip_serializing_if = "is_false")]
    pub drain: bool,
}

// The signature is the one that serde calls.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(value: &bool) -> bool {
    !value
}

mod defaults {
    use clock::Millis;

    pub(super) fn coverage_percent() -> u8 {
        1
    }

    pub(super) fn retention_ms() -> Millis {
        Millis(300_000)
    }

    pub(super) fn concurrency() -> usize {
        256
    }

    pub(super) fn queue() -> usize {
        2_048
    }

    pub(super) fn hedge_percent() -> u8 {
        5
    }

    pub(super) fn retry_percent() -> u8 {
        10
    }
}

/// Parses declarations and returns them with their warnings.
///
/// # Errors
///
/// Returns all findings together.
pub fn parse(text: &str, file: &str) -> settings::Result<(Declarations, Vec<Finding>)> {
    settings::parse(text, file)
}

/// Renders declarations as YAML.
pub fn render(declarations: &Declarations) -> String {
    // The types hold nothing that YAML can't express.
    serde_saphyr::to_string(declarations).unwrap_or_default()
}
