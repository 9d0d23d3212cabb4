//! Requests to one upstream whose attempts have ended without an answer: their callers left,
//! their deadlines passed or their connections were lost. The upstream can end by such a
//! request later.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use clock::Millis;

use crate::sent::SentRequest;

/// Requests that are listed for one upstream; the oldest gives way.
const LIMIT: usize = 64;

#[derive(Debug)]
struct Unanswered {
    request: SentRequest,
    caller_left: Rc<Cell<bool>>,
    /// Deadline that was sent to the upstream.
    deadline: Millis,
}

/// The requests that one upstream has not answered and that nobody waits for any more.
#[derive(Debug, Default)]
pub(crate) struct UnansweredRequests(RefCell<Vec<Unanswered>>);

impl UnansweredRequests {
    /// Adds a request. Whether its caller has left, or another upstream has answered it, is
    /// known only once the whole request is dropped, so that both are read later.
    pub(crate) fn add(&self, request: SentRequest, caller_left: Rc<Cell<bool>>, deadline: Millis) {
        let mut list = self.0.borrow_mut();
        if list.len() >= LIMIT {
            list.remove(0);
        }
        list.push(Unanswered {
            request,
            caller_left,
            deadline,
        });
    }

    /// Removes all, as the upstream has ended.
    pub(crate) fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Removes those whose deadlines have passed, as the upstream answers others.
    pub(crate) fn outlive(&self, now: Millis) {
        self.0.borrow_mut().retain(|u| u.deadline > now);
    }

    /// Records that a request was answered by another upstream for its shard.
    pub(crate) fn record_success(&self, fingerprint: u64, shard: &str) {
        let list = self.0.borrow();
        let same = list.iter().filter(|u| u.request.is(fingerprint, shard));
        same.for_each(|u| u.request.answered.set());
    }

    /// Whether a request from before may still run that no other upstream has answered.
    pub(crate) fn has_running_since(&self, sent_by: Millis, now: Millis) -> bool {
        let list = self.0.borrow();
        let mut running = list.iter().filter(|u| u.deadline > now);
        running.any(|u| u.request.is_pending_since(sent_by))
    }

    /// Returns the requests that may still run and whose callers have left.
    pub(crate) fn abandoned(&self, now: Millis) -> Vec<SentRequest> {
        self.select(|u| u.deadline > now && u.caller_left.get())
    }

    /// Returns the requests that may still run and that no other upstream has answered.
    pub(crate) fn running(&self, now: Millis) -> Vec<SentRequest> {
        self.select(|u| u.deadline > now && !u.request.answered.is_set())
    }

    /// Returns the requests that no other upstream has answered.
    pub(crate) fn all(&self) -> Vec<SentRequest> {
        self.select(|u| !u.request.answered.is_set())
    }

    fn select(&self, is_wanted: impl Fn(&Unanswered) -> bool) -> Vec<SentRequest> {
        let list = self.0.borrow();
        let wanted = list.iter().filter(|u| is_wanted(u));
        wanted.map(|u| u.request.clone()).collect()
    }
}
