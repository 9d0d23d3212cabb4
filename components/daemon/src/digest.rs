//! The data that a daemon adds to its heartbeats and reads from those of peers.

use std::rc::Rc;

use clock::Millis;
use members::{Digest, Member};
use schema::HeartbeatMessage;
use upstreams::Shared;

use crate::sync::CatalogSync;

/// Exchanges the revision, the marks of leaving upstreams and the reports of
/// requests that ran while upstreams crashed.
pub(crate) struct DaemonDigest {
    pub(crate) sync: Rc<CatalogSync>,
    pub(crate) shared: Rc<Shared>,
}

impl Digest for DaemonDigest {
    fn revision(&self) -> u64 {
        self.sync.revision()
    }

    fn collect(&self, message: &mut HeartbeatMessage) {
        message.drains = self.shared.drains.collect();
        message.strikes = self.shared.crashes.collect(Millis::now());
    }

    fn merge(&self, message: &HeartbeatMessage) {
        self.sync.raise_min_revision(message.heard_revision);
        self.shared.drains.merge(&message.drains);
        self.shared.crashes.merge(&message.strikes, Millis::now());
        if let Some(sender) = message.sender.as_ref().and_then(Member::from_message) {
            self.sync.fetch_if_newer(&sender);
        }
    }
}
