//! Sub-requests that wait for a slot.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use telemetry::names;

use crate::call::Call;
use crate::fair_queue::{FairQueue, Ticket};
use crate::fair_wait::Outlook;
use crate::flows::FlowKey;
use crate::placement::AcquireError;
use crate::slot::Slot;
use crate::upstream::UpstreamKey;

/// A request for a slot on one of the candidates.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    pub(crate) candidates: Vec<UpstreamKey>,
    pub(crate) deadline: Millis,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
    /// Rank in the queue; 0 goes first.
    pub(crate) priority: u8,
    /// Workspace of the caller, if callers have one.
    pub(crate) workspace: Option<Rc<str>>,
    /// See [`Call::draw`](crate::Call::draw).
    pub(crate) draw: f64,
    /// See [`Call::rate_by`](crate::Call::rate_by).
    pub(crate) rate_by: Millis,
}

impl SlotRequest {
    pub(crate) fn new(call: &Call, candidates: Vec<UpstreamKey>) -> Self {
        Self {
            candidates,
            deadline: call.deadline,
            fingerprint: call.fingerprint,
            priority: call.priority,
            workspace: call.workspace.clone(),
            draw: call.draw,
            rate_by: call.rate_by,
        }
    }

    fn flow(&self) -> FlowKey {
        FlowKey {
            rank: self.priority,
            workspace: self.workspace.clone(),
        }
    }
}

/// What a waiting request gets: a slot, or why it waits no longer.
pub(crate) type Grant = Result<Slot, AcquireError>;

pub(crate) struct Waiter {
    request: SlotRequest,
    pub(crate) grant: oneshot::Sender<Grant>,
}

impl Waiter {
    /// Whether the receiver still waits and its deadline is not before `end`, the
    /// time at which a request that starts now is expected to end.
    fn is_viable(&self, end: Millis) -> bool {
        !self.grant.is_canceled() && end <= self.request.deadline
    }

    fn accepts_any(&self, free: &[UpstreamKey]) -> bool {
        self.request.candidates.iter().any(|k| free.contains(k))
    }
}

/// The next waiter to handle; without a request if it can't be served in time.
pub(crate) struct NextWaiter {
    pub(crate) ticket: Ticket,
    pub(crate) request: Option<SlotRequest>,
}

/// A place in the queue. When it is dropped because the caller gave up, the place of a
/// request with a workspace is free at once; others keep it until their turn.
pub(crate) struct Place<'a> {
    queue: &'a Queue,
    ticket: Ticket,
    is_freed: bool,
    pub(crate) receiver: oneshot::Receiver<Grant>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.is_freed {
            drop(self.queue.remove(self.ticket));
        }
    }
}

/// The waiting sub-requests of one service.
#[derive(Default)]
pub(crate) struct Queue {
    waiters: RefCell<FairQueue<Waiter>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Returns the number of waiting sub-requests of each rank.
    pub(crate) fn count_by_rank(&self) -> BTreeMap<u8, usize> {
        self.waiters.borrow().count_by_rank()
    }

    /// Adds a waiter; the receiver of the returned place gets the slot.
    pub(crate) fn push(&self, request: SlotRequest, now: Millis) -> Place<'_> {
        let (grant, receiver) = oneshot::channel();
        let (flow, deadline) = (request.flow(), request.deadline);
        let is_freed = request.workspace.is_some();
        let mut waiters = self.waiters.borrow_mut();
        let ticket = waiters.push(flow, deadline, Waiter { request, grant }, now);
        Place {
            queue: self,
            ticket,
            is_freed,
            receiver,
        }
    }

    /// Finds the first waiter that is not in `skipped` and may use one of the free
    /// upstreams, or that can't be served in time any more.
    pub(crate) fn next(
        &self,
        skipped: &HashSet<Ticket>,
        free: &[UpstreamKey],
        end: Millis,
    ) -> Option<NextWaiter> {
        if free.is_empty() {
            return None;
        }
        let waiters = self.waiters.borrow();
        let mut rest = waiters.in_order().into_iter();
        let (ticket, waiter) = rest.find(|(ticket, w)| {
            !skipped.contains(ticket) && (!w.is_viable(end) || w.accepts_any(free))
        })?;
        let request = waiter.is_viable(end).then(|| waiter.request.clone());
        Some(NextWaiter { ticket, request })
    }

    /// Drops the waiters that may use none of the upstreams for which `is_available`
    /// holds.
    pub(crate) fn drop_unservable(&self, is_available: impl Fn(UpstreamKey) -> bool) {
        let is_unservable = |w: &Waiter| !w.request.candidates.iter().any(|&k| is_available(k));
        let dropped = self.waiters.borrow_mut().remove_if(is_unservable);
        // Wakes the receivers, which find that no replica is available.
        drop(dropped);
    }

    /// Removes a waiter that gets a slot.
    pub(crate) fn grant(&self, ticket: Ticket, now: Millis) -> Option<Waiter> {
        let waiter = self.waiters.borrow_mut().grant(ticket, now)?;
        let rank = waiter.request.priority.to_string();
        metrics::counter!(names::QUEUE_GRANTS_TOTAL, "rank" => rank).increment(1);
        Some(waiter)
    }

    /// Counts a request that got a slot without waiting.
    pub(crate) fn charge(&self, request: &SlotRequest) {
        self.waiters.borrow_mut().charge(&request.flow());
    }

    /// Makes a place in a full queue for a new request; `false` refuses it.
    pub(crate) fn displace_for(&self, request: &SlotRequest) -> bool {
        let displaced = self.waiters.borrow_mut().displace_for(&request.flow());
        let Some(waiter) = displaced else {
            return false;
        };
        metrics::counter!(names::QUEUE_DISPLACED_TOTAL).increment(1);
        // A receiver that is gone needs no answer.
        let _ = waiter.grant.send(Err(AcquireError::Displaced));
        true
    }

    /// Returns what a new request of a call has to wait for.
    pub(crate) fn outlook(&self, call: &Call) -> Outlook {
        let flow = FlowKey {
            rank: call.priority,
            workspace: call.workspace.clone(),
        };
        self.waiters.borrow().outlook(&flow, call.deadline)
    }

    pub(crate) fn remove(&self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.borrow_mut().remove(ticket)
    }
}
