//! The declarations of services in YAML files, which operators keep in version
//! control.

use std::net::SocketAddr;

use clock::Millis;
use garde::Validate;
use serde::{Deserialize, Serialize};
use settings::{Finding, Pass};

use crate::rules;

/// Whether a service prefers latency or coverage when it can't have both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Objective {
    /// Returns the available results by the deadline.
    #[default]
    Latency,
    /// Retries longer, for results from as many shards as possible.
    Coverage,
}

/// The services that a file declares.
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

/// A service: its shards, its upstreams and the limits of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, which callers use in the request path.
    pub name: String,
    /// Whether latency or coverage takes precedence.
    #[serde(default)]
    pub objective: Objective,
    /// Deadline of requests for which the caller sets none, in milliseconds.
    pub deadline_ms: Millis,
    /// Share of the requested shards below which a search is refused, in
    /// percent.
    #[serde(default = "defaults::coverage_percent")]
    pub coverage_percent: u8,
    /// Label of the assignment of records to shards.
    pub partitioning: String,
    /// Whether the service accepts bookings.
    #[serde(default)]
    pub bookings: bool,
    /// Time for which the key of a booking is retained, in milliseconds.
    #[serde(default = "defaults::retention_ms")]
    pub retention_ms: Millis,
    /// Maximum number of concurrent searches and bookings on one daemon.
    #[serde(default = "defaults::concurrency")]
    pub concurrency: usize,
    /// Maximum number of sub-requests that wait for a slot on one daemon.
    #[serde(default = "defaults::queue")]
    pub queue: usize,
    /// Budget for hedged sub-requests, in percent of the needed ones.
    #[serde(default = "defaults::hedge_percent")]
    pub hedge_percent: u8,
    /// Budget for retried sub-requests, in percent of the needed ones.
    #[serde(default = "defaults::retry_percent")]
    pub retry_percent: u8,
    /// Maximum number of concurrent requests on an upstream.
    pub slots: usize,
    /// Maximum number of connections that an upstream accepts.
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

/// A process that serves replicas of shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name, unique in the service.
    pub name: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: String,
    /// Whether it receives no new requests.
    #[serde(default, skip_serializing_if = "is_false")]
    pub drain: bool,
}

// serde calls this function with a reference.
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
/// Returns all findings if any of them is an error.
pub fn parse(text: &str, file: &str) -> settings::Result<(Declarations, Vec<Finding>)> {
    settings::parse(text, file)
}

/// Renders declarations as YAML.
pub fn render(declarations: &Declarations) -> String {
    // All values of these types can be written as YAML.
    serde_saphyr::to_string(declarations).unwrap_or_default()
}
