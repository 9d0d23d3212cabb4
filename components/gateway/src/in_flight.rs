//! The requests in flight at a gateway.

use std::cell::RefCell;
use std::rc::Rc;

use clock::Millis;
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a request in flight.
    struct RequestKey;
}

/// A request in flight, as it is logged.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    /// Identifier of the request; empty if it has none.
    pub(crate) id: String,
    /// Name of the route; empty if none matches.
    pub(crate) route: String,
    /// Time of its arrival.
    pub(crate) arrived: Millis,
}

/// The requests that are not answered yet.
#[derive(Default)]
pub(crate) struct InFlight {
    requests: RefCell<SlotMap<RequestKey, InFlightRequest>>,
}

/// Lists a request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    all: Rc<InFlight>,
    key: RequestKey,
}

impl InFlight {
    /// Lists a request until the returned guard is dropped.
    pub(crate) fn begin(self: &Rc<Self>, request: InFlightRequest) -> InFlightGuard {
        let key = self.requests.borrow_mut().insert(request);
        InFlightGuard {
            all: self.clone(),
            key,
        }
    }

    /// Returns the number of requests.
    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Returns all requests.
    pub(crate) fn list(&self) -> Vec<InFlightRequest> {
        self.requests.borrow().values().cloned().collect()
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.all.requests.borrow_mut().remove(self.key);
    }
}
