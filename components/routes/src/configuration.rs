//! One version of the configuration.

use std::collections::BTreeMap;

use clock::Millis;

/// One whole version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with every change, not always by one.
    pub version: u64,
    /// The routes, in no order.
    pub routes: Vec<Route>,
    /// Limits of the services by their names.
    pub services: BTreeMap<String, ServiceLimits>,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// What a service's upstreams bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that an upstream accepts from all daemons together.
    pub connections: usize,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's headers must arrive.
    pub header_timeout: Millis,
    /// Time that a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// How the requests under one host and prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host, without a port.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be sent more than once.
    pub delivery: Delivery,
    /// Longest time that a request may be kept waiting.
    pub timeout: Millis,
    /// Time within which an answer is worth most to the caller.
    pub objective: Millis,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Upstreams that one request may be sent to, for each shard.
    pub attempts: usize,
    /// Who answers.
    pub target: Target,
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Running it again does no harm.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
}

/// Who answers the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One upstream of one service.
    Service(String),
    /// One upstream of one of several services, by weight.
    Split(Vec<WeightedService>),
    /// One upstream of each of several services; their parts are merged.
    Gather(Gather),
}

impl Target {
    /// Returns the names of all services that may be asked.
    pub fn services(&self) -> Vec<&str> {
        match self {
            Target::Service(name) => vec![name],
            Target::Split(shares) => shares.iter().map(|s| s.service.as_str()).collect(),
            Target::Gather(gather) => gather.shards.iter().map(String::as_str).collect(),
        }
    }
}

/// A service's share of a split route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to those of the other services.
    pub weight: f64,
}

/// A search over many shards, each of them a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Names of the shards.
    pub shards: Vec<String>,
    /// Records in an answer.
    pub top_k: usize,
    /// Least share of the shards that an answer must cover, from 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// The least number of shards that an answer must cover.
    pub fn required_shards(&self) -> usize {
        let total = self.shards.len();
        // The margin keeps 0.7 of 10 at 7, whatever the rounding.
        let needed = (self.min_coverage * total as f64 - 1e-9).ceil();
        (needed.max(1.0) as usize).min(total)
    }
}
