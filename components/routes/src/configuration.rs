//! The configuration of routes, services and limits.

use std::collections::BTreeMap;
use std::rc::Rc;

use clock::Millis;

use crate::workspace::Workspace;

/// A complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; increases with every change, not always by one.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// Limits of the services, by service name.
    pub services: BTreeMap<String, ServiceLimits>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The workspaces; `None` if callers need no keys.
    pub workspaces: Option<Vec<Rc<Workspace>>>,
}

/// Limits of a service's upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Maximum number of connections that one upstream accepts from all
    /// daemons together.
    pub connections: usize,
    /// Requests a second that one upstream takes from all daemons together while it
    /// is cold; `None` if there is no limit.
    pub cold_rate: Option<f64>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time until a request's headers have arrived.
    pub header_timeout: Millis,
    /// Maximum time that a connection may stay idle.
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

/// Rules for the requests under one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host name, without a port.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
    /// Delivery guarantee of the route's requests.
    pub delivery: Delivery,
    /// Maximum time until a request is answered.
    pub timeout: Millis,
    /// Latency objective: an answer within this time has the most value for
    /// the caller.
    pub objective: Millis,
    /// Queue priority; 0 is served first.
    pub priority: u8,
    /// Maximum number of attempts per shard, hedges included. Each goes to one
    /// upstream, so that a request reaches no more upstreams than this; one that
    /// found the connection refused or closed was not sent and does not count.
    pub attempts: usize,
    /// Services that serve the requests.
    pub target: Target,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Delivery guarantee: whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The request can be executed more than once without harm.
    Idempotent,
    /// The request must be executed at most once.
    AtMostOnce,
}

/// Services that serve the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One upstream of one service.
    Service(String),
    /// One upstream of one of several services, chosen by weight.
    Split(Vec<WeightedService>),
    /// One upstream of each of several services; their responses are merged.
    Gather(Gather),
}

impl Target {
    /// Returns the names of all services that a request may be sent to.
    pub fn services(&self) -> Vec<&str> {
        match self {
            Target::Service(name) => vec![name],
            Target::Split(services) => services.iter().map(|s| s.service.as_str()).collect(),
            Target::Gather(gather) => gather.shards.iter().map(String::as_str).collect(),
        }
    }
}

/// A service of a split route with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A scatter-gather search over several shards, each of which is a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// Names of the shards' services.
    pub shards: Vec<String>,
    /// Maximum number of records in an answer.
    pub top_k: usize,
    /// Minimum share of the shards that an answer must cover, from 0 to 1.
    pub min_coverage: f64,
}

impl Gather {
    /// Returns the minimum number of shards that an answer must cover.
    pub fn required_shards(&self) -> usize {
        let total = self.shards.len();
        // Subtracting 1e-9 keeps 0.7 * 10 at 7 despite floating-point rounding.
        let required = (self.min_coverage * total as f64 - 1e-9).ceil();
        (required.max(1.0) as usize).min(total)
    }
}
