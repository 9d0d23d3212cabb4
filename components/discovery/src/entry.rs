//! Records of the store and their decoded form.

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use routes::Configuration;
use serde::{Deserialize, Serialize};

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value as it was written.
    pub value: Vec<u8>,
    /// The store's revision at which it was written.
    pub revision: u64,
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The configuration.
    Configuration(Rc<Configuration>),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// A daemon of this system.
    Instance(InstanceEntry),
    /// An upstream that crashed during a request.
    Crash(CrashEntry),
    /// A failure domain to whose upstreams nothing is sent.
    Evacuation(String),
    /// A record that this system does not use.
    Foreign,
}

/// Decodes the records of one store's layout.
pub trait Decode {
    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns why a record that this system uses can't be decoded.
    fn decode(&self, record: &Record) -> std::result::Result<Entry, String>;
}

/// An upstream as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identifier; a restarted upstream may have the same.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Number of requests that it runs at a time.
    pub slots: usize,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// For how much longer it is cold.
    pub cold_remaining: Millis,
    /// Wall-clock time of its start, if it reports one.
    pub started_at: Option<Millis>,
    /// Sequence number of this report since its start.
    pub sequence: u64,
}

impl UpstreamEntry {
    /// Returns the start time and the sequence number, which order the reports
    /// of one identifier.
    pub(crate) fn report_key(&self) -> (Option<Millis>, u64) {
        (self.started_at, self.sequence)
    }

    /// Whether two entries are equal apart from the sequence number and the
    /// remaining time of the cold period, which falls from report to report.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        let normalized = Self {
            sequence: other.sequence,
            cold_remaining: other.cold_remaining,
            ..self.clone()
        };
        normalized == *other
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes requests.
    Ready,
    /// It finishes the requests that it has and will stop.
    Draining,
}

/// A daemon as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the daemon.
    pub name: String,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Failure domain.
    #[serde(default)]
    pub domain: String,
    /// Processor of the daemon, in thousandths of a core; 0 if it is not known, as from
    /// older daemons.
    #[serde(default, skip_serializing_if = "is_unknown")]
    pub millicores: u32,
}

fn is_unknown(millicores: &u32) -> bool {
    *millicores == 0
}

/// An upstream that crashed during a request, as the daemon that saw it writes it.
/// There is one entry for each pair of a request and an upstream's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Process of the upstream.
    pub upstream: String,
    /// Shard for which the request ran.
    pub shard: String,
    /// Failure domain of the upstream.
    pub domain: String,
    /// Whether the request was a suspect before.
    pub alone: bool,
    /// Whether a later success of the request voided the crash.
    pub cleared: bool,
    /// Wall-clock time of the crash.
    pub crashed_at: Millis,
}

/// A request that an upstream has not answered since it fell silent, as daemons tell each
/// other. It is not kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionEntry {
    /// Digest of the request.
    pub fingerprint: u64,
    /// Shard for which the request ran.
    pub shard: String,
    /// Failure domain of the upstream.
    pub domain: String,
}
