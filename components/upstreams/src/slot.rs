//! A slot: permission to run one request on an upstream.

use std::rc::Rc;

use crate::upstream::{Running, Upstream, UpstreamKey};

/// Callback for freed slots.
pub(crate) trait SlotOwner {
    /// Called after a slot of an upstream was freed; `holder` is the request
    /// that held it.
    fn slot_freed(self: Rc<Self>, holder: Running);
}

/// Permission to run one request on an upstream, held until it is dropped.
pub struct Slot {
    pub(crate) key: UpstreamKey,
    pub(crate) upstream: Rc<Upstream>,
    pub(crate) running: Running,
    owner: Rc<dyn SlotOwner>,
}

impl Slot {
    /// Occupies a slot of an upstream.
    pub(crate) fn take(
        owner: Rc<dyn SlotOwner>,
        key: UpstreamKey,
        upstream: Rc<Upstream>,
        running: Running,
    ) -> Self {
        upstream.last_used.set(running.since);
        upstream.running.borrow_mut().push(running);
        Self {
            key,
            upstream,
            running,
            owner,
        }
    }

    fn remove_running(&self) {
        let mut all = self.upstream.running.borrow_mut();
        if let Some(at) = all.iter().position(|r| *r == self.running) {
            all.swap_remove(at);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.remove_running();
        self.owner.clone().slot_freed(self.running);
    }
}
