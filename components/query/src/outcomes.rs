//! Outcomes of bookings, kept in memory for callers that repeat a booking.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use clock::Millis;
use schema::DispatchReply;

const ENTRY_LIMIT: usize = 20_000;
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// The state of a booking that this daemon claimed.
#[derive(Clone, Debug, PartialEq)]
pub enum BookingState {
    /// The booking is running.
    Running,
    /// The booking ended with this reply.
    Done(DispatchReply),
}

/// The bookings that this daemon claimed recently.
#[derive(Default)]
pub struct Outcomes {
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    bookings: HashMap<String, (Millis, BookingState)>,
    order: VecDeque<(Millis, String)>,
    bytes: usize,
}

impl Outcomes {
    /// Records that a booking is running.
    pub fn begin(&self, service: &str, key: &str, now: Millis) {
        self.put(cache_key(service, key), BookingState::Running, now);
    }

    /// Records how a booking ended.
    pub fn end(&self, service: &str, key: &str, reply: &DispatchReply, now: Millis) {
        self.put(
            cache_key(service, key),
            BookingState::Done(reply.clone()),
            now,
        );
    }

    /// Returns the state of a booking, if it is still kept.
    pub fn find(&self, service: &str, key: &str) -> Option<BookingState> {
        let inner = self.inner.borrow();
        inner
            .bookings
            .get(&cache_key(service, key))
            .map(|(_, state)| state.clone())
    }

    /// Returns the number of kept bookings.
    pub fn len(&self) -> usize {
        self.inner.borrow().bookings.len()
    }

    /// Whether no booking is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops bookings older than `age`.
    pub fn expire(&self, age: Millis, now: Millis) {
        let mut inner = self.inner.borrow_mut();
        while inner
            .order
            .front()
            .is_some_and(|(at, _)| now.since(*at) > age)
        {
            inner.drop_oldest();
        }
    }

    fn put(&self, key: String, state: BookingState, now: Millis) {
        let mut inner = self.inner.borrow_mut();
        inner.bytes += size(&state);
        let old = inner.bookings.insert(key.clone(), (now, state));
        inner.bytes -= old.as_ref().map_or(0, |(_, state)| size(state));
        inner.order.push_back((now, key));
        while inner.order.len() > ENTRY_LIMIT || inner.bytes > BODY_LIMIT_BYTES {
            inner.drop_oldest();
        }
    }
}

impl Inner {
    /// Removes the oldest entry of the queue, and its booking unless a newer
    /// entry has replaced it.
    fn drop_oldest(&mut self) {
        let Some((at, key)) = self.order.pop_front() else {
            return;
        };
        let is_current = self
            .bookings
            .get(&key)
            .is_some_and(|(updated, _)| *updated <= at);
        if is_current {
            let old = self.bookings.remove(&key);
            self.bytes -= old.map_or(0, |(_, state)| size(&state));
        }
    }
}

fn size(state: &BookingState) -> usize {
    match state {
        BookingState::Running => 0,
        BookingState::Done(reply) => reply.body.len(),
    }
}

fn cache_key(service: &str, key: &str) -> String {
    format!("{service}/{key}")
}
