//! Records of the store and what they say.

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

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The configuration.
    Configuration(Rc<Configuration>),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// A daemon of this system.
    Instance(InstanceEntry),
    /// Nothing that concerns this system.
    Foreign,
}

/// Reads records of one store's layout.
pub trait Decode {
    /// Returns what a record says.
    ///
    /// # Errors
    ///
    /// Says why a record that should be understood can't be.
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
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// How much longer it stays slow after its start.
    pub cold_remaining: Millis,
    /// Wall-clock time of its start, if it tells.
    pub born: Option<Millis>,
    /// Number of this report since its start.
    pub sequence: u64,
}

impl UpstreamEntry {
    /// Orders reports of one identifier; a later start goes before all else.
    pub(crate) fn age_key(&self) -> (Option<Millis>, u64) {
        (self.born, self.sequence)
    }

    /// Whether two entries differ in more than the number of the report.
    pub(crate) fn is_same_state(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            cold_remaining: other.cold_remaining,
            ..self.clone()
        };
        renumbered == *other
    }
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes requests.
    Ready,
    /// It finishes what it has and will stop.
    Draining,
}

/// A daemon as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the daemon.
    pub name: String,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Failure domain.
    #[serde(default)]
    pub domain: String,
}
