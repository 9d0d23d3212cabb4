//! The requests of callers, peers and operators that are in flight, and their end
//! when the shutdown cuts them.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use clock::Millis;
use futures_util::future::{Either, select};
use transport::{Event, detached};

/// A request in flight, as it is logged.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// Identifier of the request; empty if it has none.
    pub id: String,
    /// What is requested, such as `search`.
    pub kind: &'static str,
    /// Name of the service; empty if it concerns none.
    pub service: String,
    /// Time of its arrival.
    pub arrived: Millis,
}

impl InFlightRequest {
    /// Returns a request that arrives now.
    pub fn new(kind: &'static str, id: &str, service: &str) -> Self {
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
pub enum End<T> {
    /// With its own outcome.
    Done(T),
    /// By the shutdown; whether it ran is not known.
    Cut,
    /// By the shutdown before it ran.
    NotRun,
    /// Its task panicked.
    Failed,
}

/// The requests without an outcome yet.
#[derive(Default)]
pub struct InFlight {
    requests: Rc<transport::InFlight<InFlightRequest>>,
    finished: Rc<Cell<u64>>,
    cut: Event,
}

impl InFlight {
    /// Runs a request until it ends, the caller drops it or the shutdown cuts it;
    /// the latter two cancel it. One that arrives after the cut does not run.
    pub async fn run<T>(&self, request: InFlightRequest, work: impl Future<Output = T>) -> End<T> {
        if self.is_cut() {
            return End::NotRun;
        }
        match self.until_cut(self.listed(request, work)).await {
            Some(outcome) => End::Done(outcome),
            None => End::Cut,
        }
    }

    /// Runs a request in a task of its own, which continues until the process exits
    /// even if the caller or the shutdown stops waiting for it. One that arrives after
    /// the cut does not run.
    pub async fn run_detached<T: 'static>(
        &self,
        request: InFlightRequest,
        work: impl Future<Output = T> + 'static,
    ) -> End<T> {
        if self.is_cut() {
            return End::NotRun;
        }
        let task = detached(self.listed(request, work));
        match self.until_cut(task).await {
            Some(Some(outcome)) => End::Done(outcome),
            Some(None) => End::Failed,
            None => End::Cut,
        }
    }

    /// Waits for a future, or returns `None` once the shutdown cuts requests.
    pub async fn until_cut<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        match select(pin!(work), pin!(self.cut.wait())).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    }

    /// Cuts all requests in flight and returns them.
    pub fn cut(&self) -> Vec<InFlightRequest> {
        self.cut.set();
        self.requests.list()
    }

    /// Whether requests have been cut.
    pub fn is_cut(&self) -> bool {
        self.cut.is_set()
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.requests.count()
    }

    /// Returns the number of requests that ended with their own outcome before any
    /// was cut.
    pub fn finished(&self) -> u64 {
        self.finished.get()
    }

    /// Runs a listed request to its end and counts it as finished, unless requests
    /// were cut before.
    fn listed<T, F: Future<Output = T>>(
        &self,
        request: InFlightRequest,
        work: F,
    ) -> impl Future<Output = T> + use<T, F> {
        let guard = self.requests.begin(request);
        let (finished, cut) = (self.finished.clone(), self.cut.clone());
        async move {
            let outcome = work.await;
            drop(guard);
            finished.set(finished.get() + u64::from(!cut.is_set()));
            outcome
        }
    }
}
