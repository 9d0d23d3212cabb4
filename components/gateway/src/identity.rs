//! Which workspace a request belongs to.

use std::cell::Cell;
use std::rc::Rc;

use http::HeaderMap;
use routes::{KeyDigest, Route, Table, Workspace};
use upstreams::{Permanent, Permission};

use crate::fleet::Fleet;
use crate::refusal::{Cause, Refusal, Result};
use crate::wire::WireFormat;

/// What a request proved of its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Identity {
    /// Nothing is asked of callers.
    Anonymous,
    /// The caller sent a key of the workspace.
    Key(KeyDigest, Rc<Workspace>),
    /// The caller sent it to another daemon, which handed the request over.
    Checked(KeyDigest, Rc<Workspace>),
}

impl Identity {
    /// Returns the identity of a request. `checked` is the key that the daemon which
    /// handed the request over has checked by its own configuration; this one may be
    /// newer and not hold that key any more.
    ///
    /// # Errors
    ///
    /// Fails if the route asks for a key and no workspace holds the one that was sent.
    pub(crate) fn resolve(
        wire: &dyn WireFormat,
        table: &Table,
        route: &Route,
        checked: Option<KeyDigest>,
        headers: &HeaderMap,
    ) -> Result<Self> {
        if !table.requires_keys() || route.is_public {
            return Ok(Self::Anonymous);
        }
        let found = match (checked, wire.api_key(headers).map(KeyDigest::of)) {
            (Some(key), _) => table.find_workspace(&key).map(|w| Self::Checked(key, w)),
            (None, Some(key)) => table.find_workspace(&key).map(|w| Self::Key(key, w)),
            (None, None) => None,
        };
        found.ok_or_else(|| {
            let detail = format!("no workspace of version {} holds the key", table.version);
            Refusal::not_run(Cause::UnknownKey, detail)
        })
    }

    /// Returns the digest of the caller's key.
    pub(crate) fn key(&self) -> Option<KeyDigest> {
        match self {
            Self::Anonymous => None,
            Self::Key(key, _) | Self::Checked(key, _) => Some(*key),
        }
    }

    /// Returns the workspace, if callers have one.
    pub(crate) fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Self::Anonymous => None,
            Self::Key(_, workspace) | Self::Checked(_, workspace) => Some(workspace),
        }
    }

    /// Returns the permission to send the request for as long as a configuration in force
    /// allows it.
    pub(crate) fn permission(&self, fleet: &Rc<Fleet>, version: u64) -> Rc<dyn Permission> {
        match self {
            Self::Anonymous => Rc::new(Permanent),
            Self::Key(key, workspace) | Self::Checked(key, workspace) => Rc::new(Revocable {
                key: *key,
                workspace: workspace.name.clone(),
                fleet: fleet.clone(),
                checked: Cell::new(version),
            }),
        }
    }
}

/// A permission that ends when the key is taken from the configuration.
struct Revocable {
    key: KeyDigest,
    workspace: Rc<str>,
    fleet: Rc<Fleet>,
    /// Newest version that holds it.
    checked: Cell<u64>,
}

impl Permission for Revocable {
    fn is_valid(&self) -> bool {
        let Some(table) = self.fleet.table() else {
            return true;
        };
        if table.version == self.checked.get() {
            return true;
        }
        let holder = table.find_workspace(&self.key);
        let is_held = holder.is_some_and(|w| w.name == self.workspace);
        let is_valid = is_held || !table.requires_keys();
        if is_valid {
            self.checked.set(table.version);
        }
        is_valid
    }
}
