//! A list of the requests in flight at a server.

use std::cell::RefCell;
use std::rc::Rc;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a request in flight.
    struct RequestKey;
}

/// The requests of a server that have not ended, each as it is to be logged.
#[derive(Debug)]
pub struct InFlight<R> {
    requests: RefCell<SlotMap<RequestKey, R>>,
}

/// Keeps a request in the list until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard<R> {
    list: Rc<InFlight<R>>,
    key: RequestKey,
}

impl<R> Default for InFlight<R> {
    fn default() -> Self {
        Self {
            requests: RefCell::default(),
        }
    }
}

impl<R: Clone> InFlight<R> {
    /// Adds a request until the returned guard is dropped.
    pub fn begin(self: &Rc<Self>, request: R) -> InFlightGuard<R> {
        let key = self.requests.borrow_mut().insert(request);
        InFlightGuard {
            list: self.clone(),
            key,
        }
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Returns all requests.
    pub fn list(&self) -> Vec<R> {
        self.requests.borrow().values().cloned().collect()
    }
}

impl<R> Drop for InFlightGuard<R> {
    fn drop(&mut self) {
        self.list.requests.borrow_mut().remove(self.key);
    }
}
