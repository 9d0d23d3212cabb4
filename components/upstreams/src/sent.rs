//! Requests that were sent to an upstream and are not answered yet.

use std::cell::Cell;
use std::rc::Rc;

use clock::Millis;
use slotmap::new_key_type;

use crate::upstream::Upstream;

new_key_type! {
    /// Key of a sent request at its upstream.
    pub(crate) struct SentKey;
}

/// A request that was sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SentRequest {
    pub(crate) fingerprint: u64,
    pub(crate) shard: Rc<str>,
    /// Whether it was suspected of crashing upstreams when it got its slot.
    pub(crate) is_suspect: bool,
    pub(crate) sent_at: Millis,
    /// Set once it, or a repeat of it, was answered for its shard by any upstream.
    pub(crate) answered: Answered,
}

impl SentRequest {
    /// Whether it is a request, or a repeat of it, for a shard.
    pub(crate) fn is(&self, fingerprint: u64, shard: &str) -> bool {
        self.fingerprint == fingerprint && *self.shard == *shard
    }

    /// Whether it was sent by a time and was not answered by any upstream.
    pub(crate) fn is_pending_since(&self, sent_by: Millis) -> bool {
        self.sent_at <= sent_by && !self.answered.is_set()
    }
}

/// Whether a sub-request was answered by any upstream; its clones share it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answered(Rc<Cell<bool>>);

impl Answered {
    pub(crate) fn set(&self) {
        self.0.set(true);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Lists a request at its upstream until it is dropped.
pub(crate) struct SentGuard<'a> {
    upstream: &'a Upstream,
    key: SentKey,
}

impl<'a> SentGuard<'a> {
    pub(crate) fn new(upstream: &'a Upstream, request: SentRequest) -> Self {
        let key = upstream.sent.borrow_mut().insert(request);
        Self { upstream, key }
    }

    /// Returns the listed request.
    pub(crate) fn request(&self) -> Option<SentRequest> {
        self.upstream.sent.borrow().get(self.key).cloned()
    }
}

impl Drop for SentGuard<'_> {
    fn drop(&mut self) {
        self.upstream.sent.borrow_mut().remove(self.key);
    }
}
