//! The upstreams of all pools of a daemon.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use rand::seq::IteratorRandom;

use crate::upstream::Upstream;

/// The upstreams of all pools; those that a pool drops are gone.
#[derive(Default)]
pub(crate) struct KnownUpstreams(RefCell<Vec<Weak<Upstream>>>);

impl KnownUpstreams {
    /// Adds an upstream of a pool.
    pub(crate) fn add(&self, upstream: &Rc<Upstream>) {
        let mut known = self.0.borrow_mut();
        // Before it grows, so that each addition costs little.
        if known.len() == known.capacity() {
            known.retain(|upstream| upstream.strong_count() > 0);
        }
        known.push(Rc::downgrade(upstream));
    }

    /// Whether another process was added later at the address of an upstream.
    pub(crate) fn has_successor(&self, upstream: &Rc<Upstream>) -> bool {
        let known = self.0.borrow();
        let alive = known.iter().filter_map(Weak::upgrade);
        let later = alive.skip_while(|u| !Rc::ptr_eq(u, upstream)).skip(1);
        let mut at_address = later.filter(|u| u.address == upstream.address);
        at_address.any(|u| u.process != upstream.process)
    }

    /// Returns up to `count` upstreams at random, without `excluded`, those that their pools
    /// have dropped and those of evacuated failure domains.
    pub(crate) fn sample(
        &self,
        count: usize,
        excluded: Option<&Rc<Upstream>>,
    ) -> Vec<Rc<Upstream>> {
        let known = self.0.borrow();
        let alive = known.iter().filter_map(Weak::upgrade);
        let is_other = |u: &Rc<Upstream>| excluded.is_none_or(|e| !Rc::ptr_eq(u, e));
        let is_used = |u: &Rc<Upstream>| !u.is_removed.get() && !u.is_evacuated.get();
        let candidates = alive.filter(|u| is_other(u) && is_used(u));
        candidates.sample(&mut rand::rng(), count)
    }
}
