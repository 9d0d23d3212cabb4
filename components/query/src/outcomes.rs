//! Kept answers of bookings, in memory, for callers that send one again.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use clock::Millis;
use schema::DispatchReply;

const KEPT_LIMIT: usize = 20_000;
const KEPT_BYTES: usize = 16 * 1024 * 1024;

/// What is known of a booking that this daemon claimed.
#[derive(Clone, Debug, PartialEq)]
pub enum BookingState {
    /// It is running.
    Running,
    /// It ended like this.
    Done(DispatchReply),
}

/// The bookings that this daemon claimed lately.
#[derive(Default)]
pub struct Outcomes {
    inner: RefCell<Inner>,
}

#[derive(Default)]
struct Inner {
    kept: HashMap<String, (Millis, BookingState)>,
    order: VecDeque<(Millis, String)>,
    bytes: usize,
}

impl Outcomes {
    /// Notes that a booking is running.
    pub fn begin(&self, service: &str, key: &str, now: Millis) {
        self.put(name(service, key), BookingState::Running, now);
    }

    /// Keeps how a booking ended.
    pub fn end(&self, service: &str, key: &str, reply: &DispatchReply, now: Millis) {
        self.put(name(service, key), BookingState::Done(reply.clone()), now);
    }

    /// Finds a booking.
    pub fn find(&self, service: &str, key: &str) -> Option<BookingState> {
        let inner = self.inner.borrow();
        inner
            .kept
            .get(&name(service, key))
            .map(|(_, kept)| kept.clone())
    }

    /// The number of kept bookings.
    pub fn len(&self) -> usize {
        self.inner.borrow().kept.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops what is older than `age`.
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

    fn put(&self, name: String, kept: BookingState, now: Millis) {
        let mut inner = self.inner.borrow_mut();
        inner.bytes += size(&kept);
        let old = inner.kept.insert(name.clone(), (now, kept));
        inner.bytes -= old.as_ref().map_or(0, |(_, kept)| size(kept));
        inner.order.push_back((now, name));
        while inner.order.len() > KEPT_LIMIT || inner.bytes > KEPT_BYTES {
            inner.drop_oldest();
        }
    }
}

impl Inner {
    /// Drops the oldest entry unless it was replaced by a newer one.
    fn drop_oldest(&mut self) {
        let Some((at, name)) = self.order.pop_front() else {
            return;
        };
        let is_current = self.kept.get(&name).is_some_and(|(put, _)| *put <= at);
        if is_current {
            let old = self.kept.remove(&name);
            self.bytes -= old.map_or(0, |(_, kept)| size(&kept));
        }
    }
}

fn size(kept: &BookingState) -> usize {
    match kept {
        BookingState::Running => 0,
        BookingState::Done(reply) => reply.body.len(),
    }
}

fn name(service: &str, key: &str) -> String {
    format!("{service}/{key}")
}
