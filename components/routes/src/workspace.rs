//! Workspaces: who calls, by the keys that callers send, and what they may use.

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use sha2::{Digest, Sha256};

/// A customer of the operator, whose callers identify themselves by keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name, unique within a configuration.
    pub name: Rc<str>,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Queue priority of its requests, in place of the route's; 0 is served first.
    pub priority: Option<u8>,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Limit on the requests of a workspace over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// The digest of a key. Keys are compared by their digests, so that the time of a
/// comparison tells nothing about a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl From<[u8; 32]> for KeyDigest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

// Digests of short keys could be reversed by trial.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The workspaces of a configuration, by key and by name.
#[derive(Debug, Default)]
pub(crate) struct Workspaces {
    by_key: HashMap<KeyDigest, Rc<Workspace>>,
    by_name: HashMap<Rc<str>, Rc<Workspace>>,
}

impl Workspaces {
    pub(crate) fn new(workspaces: &[Rc<Workspace>]) -> Self {
        let keys = |w: &Rc<Workspace>| {
            let workspace = w.clone();
            let pairs = w.keys.iter().map(move |k| (*k, workspace.clone()));
            pairs.collect::<Vec<_>>()
        };
        Self {
            by_key: workspaces.iter().flat_map(keys).collect(),
            by_name: workspaces
                .iter()
                .map(|w| (w.name.clone(), w.clone()))
                .collect(),
        }
    }

    pub(crate) fn by_key(&self, key: &KeyDigest) -> Option<&Rc<Workspace>> {
        self.by_key.get(key)
    }

    pub(crate) fn by_name(&self, name: &str) -> Option<&Rc<Workspace>> {
        self.by_name.get(name)
    }
}
