//! The requests of callers, peers and operators that are in flight, and their end
//! when the shutdown cuts them.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;

use clock::Millis;
use futures_util::future::{Either, select};
use slotmap::{SlotMap, new_key_type};
use transport::{Shutdown, detached};

new_key_type! {
    /// Key of a request in flight.
    struct RequestKey;
}

/// A request in flight, as it is logged.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    /// Identifier of the request; empty if it has none.
    pub(crate) id: String,
    /// What is requested, such as `search`.
    pub(crate) kind: &'static str,
    /// Name of the service; empty if it concerns none.
    pub(crate) service: String,
    /// Time of its arrival.
    pub(crate) arrived: Millis,
}

impl InFlightRequest {
    /// Returns a request that arrives now.
    pub(crate) fn new(kind: &'static str, id: &str, service: &str) -> Self {
        Self {
            id: id.to_owned(),
            kind,
            service: service.to_owned(),
            arrived: Millis::now(),
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End<T> {
    /// With its own outcome.
    Done(T),
    /// By the shutdown; whether it ran is not known.
    Cut,
    /// Its task panicked.
    Failed,
}

/// The requests without an outcome yet.
#[derive(Default)]
pub(crate) struct InFlight {
    requests: RefCell<SlotMap<RequestKey, InFlightRequest>>,
    finished: Cell<u64>,
    cut: Shutdown,
}

/// Lists a request as in flight until it is dropped.
struct Guard {
    all: Rc<InFlight>,
    key: RequestKey,
}

impl InFlight {
    /// Runs a request until it ends, the caller drops it or the shutdown cuts it;
    /// the latter two cancel it.
    pub(crate) async fn run<T>(
        self: &Rc<Self>,
        request: InFlightRequest,
        work: impl Future<Output = T>,
    ) -> End<T> {
        let guard = self.begin(request);
        match self.until_cut(work).await {
            Some(outcome) => {
                guard.finish();
                End::Done(outcome)
            }
            None => End::Cut,
        }
    }

    /// Runs a request in a task of its own, which continues until the process exits
    /// even if the caller or the shutdown stops waiting for it.
    pub(crate) async fn run_detached<T: 'static>(
        self: &Rc<Self>,
        request: InFlightRequest,
        work: impl Future<Output = T> + 'static,
    ) -> End<T> {
        let guard = self.begin(request);
        let task = detached(async move {
            let outcome = work.await;
            guard.finish();
            outcome
        });
        match self.until_cut(task).await {
            Some(Some(outcome)) => End::Done(outcome),
            Some(None) => End::Failed,
            None => End::Cut,
        }
    }

    /// Waits for a future, or returns `None` once the shutdown cuts requests.
    pub(crate) async fn until_cut<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        match select(pin!(work), pin!(self.cut.wait())).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Cuts all requests in flight and returns them.
    pub(crate) fn cut(&self) -> Vec<InFlightRequest> {
        self.cut.begin();
        self.requests.borrow().values().cloned().collect()
    }

    /// Whether requests have been cut.
    pub(crate) fn is_cut(&self) -> bool {
        self.cut.has_begun()
    }

    /// Returns the number of requests in flight.
    pub(crate) fn count(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Returns the number of requests that ended with their own outcome before any
    /// was cut.
    pub(crate) fn finished(&self) -> u64 {
        self.finished.get()
    }

    fn begin(self: &Rc<Self>, request: InFlightRequest) -> Guard {
        let key = self.requests.borrow_mut().insert(request);
        Guard {
            all: self.clone(),
            key,
        }
    }
}

impl Guard {
    /// Counts the request as finished, unless it was cut before.
    fn finish(self) {
        if !self.all.is_cut() {
            self.all.finished.set(self.all.finished.get() + 1);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.all.requests.borrow_mut().remove(self.key);
    }
}
