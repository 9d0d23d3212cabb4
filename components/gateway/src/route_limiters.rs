//! The concurrency limiters of all routes, and permits for admitted requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use routes::Route;
use serde::Serialize;

use crate::concurrency::ConcurrencyLimiter;

/// The concurrency limiters, by route name.
#[derive(Default)]
pub(crate) struct RouteLimiters {
    by_route: RefCell<HashMap<String, Rc<RefCell<ConcurrencyLimiter>>>>,
}

/// Permit of an admitted request; dropping it without [`Permit::finish`] means
/// that its latency says nothing about the load, because the caller disconnected or
/// an upstream failed.
pub(crate) struct Permit {
    limiter: Rc<RefCell<ConcurrencyLimiter>>,
    is_finished: Cell<bool>,
}

/// The concurrency limit of a route in the state dump.
#[derive(Serialize)]
pub(crate) struct LimitView {
    route: String,
    limit: f64,
}

impl RouteLimiters {
    /// Admits a request of a route, or returns the time after which its caller
    /// should retry: running requests end within about the route's objective.
    pub(crate) fn admit(&self, route: &Route) -> Result<Permit, Millis> {
        let limiter = self.limiter(&route.name);
        let is_admitted = limiter.borrow_mut().admit();
        if !is_admitted {
            return Err(route.objective);
        }
        Ok(Permit {
            limiter,
            is_finished: Cell::new(false),
        })
    }

    /// Forgets all limits, because the load does not explain them.
    pub(crate) fn reset(&self) {
        self.by_route.borrow_mut().clear();
    }

    /// Returns the current limits of all routes.
    pub(crate) fn limits(&self) -> Vec<LimitView> {
        let by_route = self.by_route.borrow();
        let view = |(route, limiter): (&String, &Rc<RefCell<ConcurrencyLimiter>>)| LimitView {
            route: route.clone(),
            limit: limiter.borrow().limit(),
        };
        by_route.iter().map(view).collect()
    }

    fn limiter(&self, route: &str) -> Rc<RefCell<ConcurrencyLimiter>> {
        if let Some(limiter) = self.by_route.borrow().get(route) {
            return limiter.clone();
        }
        let limiter = Rc::<RefCell<ConcurrencyLimiter>>::default();
        self.by_route
            .borrow_mut()
            .insert(route.to_owned(), limiter.clone());
        limiter
    }
}

impl Permit {
    /// Records the request's latency, or `None` if it was not served.
    pub(crate) fn finish(self, served_after: Option<Millis>, route: &Route, now: Millis) {
        self.is_finished.set(true);
        let mut limiter = self.limiter.borrow_mut();
        limiter.finish(served_after, route.objective, now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_finished.get() {
            self.limiter.borrow_mut().release();
        }
    }
}
