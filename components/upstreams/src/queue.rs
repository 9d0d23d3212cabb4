//! Sub-requests that wait for a slot, ordered by priority and deadline.

use std::cell::RefCell;

use clock::Millis;
use futures_channel::oneshot;

use crate::slot::Slot;
use crate::upstream::UpstreamKey;

/// What is asked of the queue.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) candidates: Vec<UpstreamKey>,
    pub(crate) deadline: Millis,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Rank in the queue; 0 goes first.
    pub(crate) priority: u8,
}

pub(crate) struct Waiter {
    ask: Ask,
    pub(crate) grant: oneshot::Sender<Slot>,
}

impl Waiter {
    /// Whether the asker is there and could be answered by its deadline if it
    /// began now and ended at `end`.
    fn is_of_use(&self, end: Millis) -> bool {
        !self.grant.is_canceled() && end <= self.ask.deadline
    }

    fn wants(&self, free: &[UpstreamKey]) -> bool {
        self.ask.candidates.iter().any(|k| free.contains(k))
    }
}

/// The next waiter to look at; one without an ask is of no use any more.
pub(crate) struct Next {
    pub(crate) at: usize,
    pub(crate) ask: Option<Ask>,
}

/// The waiting sub-requests of one service.
#[derive(Default)]
pub(crate) struct Queue {
    // By priority, then by deadline.
    waiters: RefCell<Vec<Waiter>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Adds a waiter; the slot comes through the receiver.
    pub(crate) fn push(&self, ask: Ask) -> oneshot::Receiver<Slot> {
        let (grant, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        let at = waiters
            .partition_point(|w| (w.ask.priority, w.ask.deadline) <= (ask.priority, ask.deadline));
        waiters.insert(at, Waiter { ask, grant });
        receiver
    }

    /// Finds the first waiter from `at` on that may get one of the free
    /// upstreams, or is of no use any more.
    pub(crate) fn next(&self, at: usize, free: &[UpstreamKey], end: Millis) -> Option<Next> {
        if free.is_empty() {
            return None;
        }
        let waiters = self.waiters.borrow();
        let mut rest = waiters.iter().enumerate().skip(at);
        let (at, waiter) = rest.find(|(_, w)| !w.is_of_use(end) || w.wants(free))?;
        let ask = waiter.is_of_use(end).then(|| waiter.ask.clone());
        Some(Next { at, ask })
    }

    pub(crate) fn remove(&self, at: usize) -> Waiter {
        self.waiters.borrow_mut().remove(at)
    }
}
