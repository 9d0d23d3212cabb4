//! Which workspace a request belongs to.

use std::cell::RefCell;
use std::rc::Rc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};
use routes::{KeyDigest, Route, Table, Workspace};
use upstreams::{Permanent, Permission};

use crate::fleet::Fleet;
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::Origin;
use crate::wire::WireFormat;

const KEY_DIGEST: &str = "coltsfootgw-key-digest";
/// Digest of the key of a request that is handed over, in base64.
const KEY_DIGEST_HEADER: HeaderName = HeaderName::from_static(KEY_DIGEST);

/// What a request proved of its caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Identity {
    /// Nothing is asked of callers.
    Anonymous,
    /// The caller sent a key of the workspace.
    Key(KeyDigest, Rc<Workspace>),
    /// Another daemon has checked the key and sent its digest.
    Vouched(KeyDigest, Rc<Workspace>),
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
        let handed_over = match origin {
            Origin::Peer => read_key_digest(headers),
            Origin::Caller => None,
        };
        // Daemons of older builds, and those without workspaces, pass the key on. A workspace
        // that they name was named by the caller.
        let found = match (handed_over, key) {
            (Some(key), _) => table.find_workspace(&key).map(|w| Self::Vouched(key, w)),
            (None, Some(key)) => table.find_workspace(&key).map(|w| Self::Key(key, w)),
            (None, None) => None,
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
            Self::Key(_, workspace) | Self::Vouched(_, workspace) => Some(workspace),
        }
    }

    /// Adds the digest of the key to a request that is handed over. It is listed in
    /// `Connection`, so that a daemon of an older build does not send it to upstreams.
    pub(crate) fn write_key_digest(&self, headers: &mut HeaderMap) {
        let (Self::Key(key, _) | Self::Vouched(key, _)) = self else {
            return;
        };
        if let Ok(digest) = HeaderValue::from_str(&STANDARD.encode(key.as_bytes())) {
            headers.insert(KEY_DIGEST_HEADER, digest);
            headers.insert(header::CONNECTION, HeaderValue::from_static(KEY_DIGEST));
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

fn read_key_digest(headers: &HeaderMap) -> Option<KeyDigest> {
    let bytes = STANDARD.decode(headers.get(KEY_DIGEST_HEADER)?).ok()?;
    <[u8; 32]>::try_from(bytes).ok().map(KeyDigest::from)
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
            Identity::Key(key, workspace) | Identity::Vouched(key, workspace) => {
                let holder = table.find_workspace(key);
                holder.is_some_and(|w| w.name == workspace.name)
            }
            Identity::Anonymous => true,
        };
        let is_valid = is_held || !table.requires_keys();
        if is_valid {
            self.checked.replace(table);
        }
        is_valid
    }
}
