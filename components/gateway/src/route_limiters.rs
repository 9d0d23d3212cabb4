//! The concurrency limiters of all routes, and permits for admitted requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use clock::Millis;
use routes::Route;
use serde::Serialize;

use crate::concurrency::ConcurrencyLimiter;
use crate::workspace_shares::WorkspaceShares;

/// The limit of a route and the workspaces that use it.
#[derive(Default)]
struct RouteLimiter {
    limiter: ConcurrencyLimiter,
    shares: WorkspaceShares,
}

impl RouteLimiter {
    fn admit(&mut self, workspace: Option<&Rc<str>>, now: Millis) -> bool {
        match workspace {
            Some(workspace) => self.shares.admit(&mut self.limiter, workspace, now),
            None => self.limiter.admit(),
        }
    }
}

/// The concurrency limiters, by route name.
#[derive(Default)]
pub(crate) struct RouteLimiters {
    by_route: RefCell<HashMap<String, Rc<RefCell<RouteLimiter>>>>,
}

/// Permit of an admitted request; dropping it without [`Permit::finish`] means
/// that its latency says nothing about the load, because the caller disconnected or
/// an upstream failed.
pub(crate) struct Permit {
    limiter: Rc<RefCell<RouteLimiter>>,
    workspace: Option<Rc<str>>,
    is_finished: Cell<bool>,
}

/// The concurrency limit of a route in the state dump.
#[derive(Serialize)]
pub(crate) struct LimitView {
    route: String,
    limit: f64,
    /// Workspaces that share it.
    workspaces: usize,
}

impl RouteLimiters {
    /// Admits a request of a route and workspace, or returns the time after which its caller
    /// should retry: running requests end within about the route's objective.
    pub(crate) fn admit(
        &self,
        route: &Route,
        workspace: Option<&Rc<str>>,
    ) -> Result<Permit, Millis> {
        let limiter = self.limiter(&route.name);
        let is_admitted = limiter.borrow_mut().admit(workspace, Millis::now());
        if !is_admitted {
            return Err(route.objective);
        }
        Ok(Permit {
            limiter,
            workspace: workspace.cloned(),
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
        let now = Millis::now();
        let view = |(route, limiter): (&String, &Rc<RefCell<RouteLimiter>>)| LimitView {
            route: route.clone(),
            limit: limiter.borrow().limiter.limit(),
            workspaces: limiter.borrow().shares.count(now),
        };
        by_route.iter().map(view).collect()
    }

    fn limiter(&self, route: &str) -> Rc<RefCell<RouteLimiter>> {
        if let Some(limiter) = self.by_route.borrow().get(route) {
            return limiter.clone();
        }
        let limiter = Rc::<RefCell<RouteLimiter>>::default();
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
        limiter.limiter.finish(served_after, route.objective, now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut limiter = self.limiter.borrow_mut();
        if !self.is_finished.get() {
            limiter.limiter.release();
        }
        if let Some(workspace) = &self.workspace {
            limiter.shares.end(workspace);
        }
    }
}
