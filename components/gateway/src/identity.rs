//! Which workspace a request belongs to.

use std::cell::RefCell;
use std::rc::Rc;

use http::HeaderMap;
use routes::{KeyDigest, Route, Table, Workspace};
use upstreams::{Permanent, Permission};

use crate::fleet::Fleet;
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::Origin;
use crate::wire::WireFormat;

/// What a request proved of its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Identity {
    /// Nothing is asked of callers.
    Anonymous,
    /// The caller sent a key of the workspace.
    Key(KeyDigest, Rc<Workspace>),
    /// Another daemon has checked the key.
    Vouched(Rc<Workspace>),
}

impl Identity {
    /// Returns the identity of a request.
    ///
    /// # Errors
    ///
    /// Fails if the route asks for a key and no workspace holds the one that was sent.
    pub(crate) fn resolve(
        wire: &dyn WireFormat,
        table: &Table,
        route: &Route,
        origin: Origin,
        headers: &HeaderMap,
    ) -> Result<Self> {
        if !table.requires_keys() || route.is_public {
            return Ok(Self::Anonymous);
        }
        let key = wire.api_key(headers).map(KeyDigest::of);
        let named = wire.workspace(headers);
        // Older daemons pass the key on and do not set the workspace.
        let found = match (origin, key) {
            (Origin::Peer, None) => named.and_then(|n| table.workspace(n)).map(Self::Vouched),
            (_, Some(key)) => table.find_workspace(&key).map(|w| Self::Key(key, w)),
            (Origin::Caller, None) => None,
        };
        found.ok_or_else(|| {
            let detail = format!("no workspace of version {} holds the key", table.version);
            Refusal::not_run(Cause::UnknownKey, detail)
        })
    }

    /// Returns the workspace, if callers have one.
    pub(crate) fn workspace(&self) -> Option<&Rc<Workspace>> {
        match self {
            Self::Anonymous => None,
            Self::Key(_, workspace) | Self::Vouched(workspace) => Some(workspace),
        }
    }

    /// Returns the permission to send the request for as long as a configuration in force
    /// allows it.
    pub(crate) fn permission(&self, fleet: &Rc<Fleet>, table: &Rc<Table>) -> Rc<dyn Permission> {
        match self {
            Self::Anonymous => Rc::new(Permanent),
            identity => Rc::new(Revocable {
                identity: identity.clone(),
                fleet: fleet.clone(),
                checked: RefCell::new(table.clone()),
            }),
        }
    }
}

/// A permission that ends when the key or the workspace is taken from the configuration.
struct Revocable {
    identity: Identity,
    fleet: Rc<Fleet>,
    /// Newest table that holds it: a version can be written again with other keys.
    checked: RefCell<Rc<Table>>,
}

impl Permission for Revocable {
    fn is_valid(&self) -> bool {
        let Some(table) = self.fleet.table() else {
            return true;
        };
        if Rc::ptr_eq(&table, &self.checked.borrow()) {
            return true;
        }
        let is_held = match &self.identity {
            Identity::Key(key, workspace) => {
                let holder = table.find_workspace(key);
                holder.is_some_and(|w| w.name == workspace.name)
            }
            Identity::Vouched(workspace) => table.workspace(&workspace.name).is_some(),
            Identity::Anonymous => true,
        };
        let is_valid = is_held || !table.requires_keys();
        if is_valid {
            self.checked.replace(table);
        }
        is_valid
    }
}
