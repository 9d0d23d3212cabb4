//! The admission of each route, and the requests that it admitted.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use routes::Route;
use serde::Serialize;

use crate::concurrency::ConcurrencyLimiter;

/// The admissions by the names of their routes.
#[derive(Default)]
pub(crate) struct Gate {
    routes: RefCell<HashMap<String, Rc<RefCell<ConcurrencyLimiter>>>>,
}

/// An admitted request; dropping it unfinished says that its caller left.
pub(crate) struct Admitted {
    admission: Rc<RefCell<ConcurrencyLimiter>>,
    is_finished: Cell<bool>,
}

/// The admission limit of a route.
#[derive(Serialize)]
pub(crate) struct LimitView {
    route: String,
    limit: f64,
}

impl Gate {
    /// Admits a request of a route, or says how long its caller should wait: what
    /// runs now ends within about an objective.
    pub(crate) fn admit(&self, route: &Route) -> Result<Admitted, Millis> {
        let admission = self.find(&route.name);
        let is_admitted = admission.borrow_mut().admit();
        if !is_admitted {
            return Err(route.objective);
        }
        Ok(Admitted {
            admission,
            is_finished: Cell::new(false),
        })
    }

    /// Returns the limits in force.
    pub(crate) fn limits(&self) -> Vec<LimitView> {
        let routes = self.routes.borrow();
        let view = |(route, admission): (&String, &Rc<RefCell<ConcurrencyLimiter>>)| LimitView {
            route: route.clone(),
            limit: admission.borrow().limit(),
        };
        routes.iter().map(view).collect()
    }

    fn find(&self, route: &str) -> Rc<RefCell<ConcurrencyLimiter>> {
        if let Some(known) = self.routes.borrow().get(route) {
            return known.clone();
        }
        let admission = Rc::<RefCell<ConcurrencyLimiter>>::default();
        self.routes
            .borrow_mut()
            .insert(route.to_owned(), admission.clone());
        admission
    }
}

impl Admitted {
    /// Notes when the request was served, or that it was not.
    pub(crate) fn finish(self, served_after: Option<Millis>, route: &Route, now: Millis) {
        self.is_finished.set(true);
        let mut admission = self.admission.borrow_mut();
        admission.finish(served_after, route.objective, now);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if !self.is_finished.get() {
            self.admission.borrow_mut().release();
        }
    }
}
