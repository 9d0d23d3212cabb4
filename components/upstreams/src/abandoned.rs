//! Requests whose callers disconnected while they ran. An upstream can go on with such a
//! request, and end by it, until the deadline that came with it.

use std::cell::RefCell;
use std::rc::{Rc, Weak};

use clock::Millis;

use crate::crash_check::check_crash;
use crate::pool::Pool;
use crate::shared::Shared;
use crate::upstream::{CheckoutError, Upstream};

/// Interval between looks at the idle connections of an upstream, by which its end is
/// noticed while no request runs there.
const WATCH_INTERVAL: Millis = Millis(50);

/// Upstreams where requests were cancelled and that are not watched yet. An attempt that is
/// dropped only lists its upstream: it may be dropped at the exit, when no task can start.
#[derive(Default)]
pub(crate) struct Unwatched {
    list: RefCell<Vec<(Weak<Pool>, Weak<Upstream>)>>,
}

impl Unwatched {
    pub(crate) fn add(&self, pool: &Rc<Pool>, upstream: &Rc<Upstream>) {
        if !upstream.is_watched.replace(true) {
            let entry = (Rc::downgrade(pool), Rc::downgrade(upstream));
            self.list.borrow_mut().push(entry);
        }
    }
}

impl Shared {
    /// Starts to watch the upstreams where requests may run whose callers have left; to be
    /// called again and again.
    pub fn watch_abandoned(&self) {
        for (pool, upstream) in self.unwatched.list.take() {
            if let (Some(pool), Some(upstream)) = (pool.upgrade(), upstream.upgrade()) {
                compio::runtime::spawn(watch(pool, upstream)).detach();
            }
        }
    }
}

/// Watches an upstream as long as abandoned requests may run there: if its idle connections
/// are closed and no other request would notice its end, it is checked for a crash. A
/// connection is opened if there is none, which the next request uses.
async fn watch(pool: Rc<Pool>, upstream: Rc<Upstream>) {
    while !upstream.unanswered.abandoned(Millis::now()).is_empty() {
        let has_idle = upstream.has_open_idle() || open_idle(&upstream).await;
        compio::time::sleep(WATCH_INTERVAL.into()).await;
        let is_closed = has_idle && !upstream.has_open_idle();
        if is_closed && upstream.sent.borrow().is_empty() {
            check_crash(&pool, &upstream).await;
        }
    }
    upstream.is_watched.set(false);
}

/// Opens a connection and keeps it; `false` if that says nothing about the upstream.
async fn open_idle(upstream: &Upstream) -> bool {
    match upstream.check_out().await {
        Ok(pooled) => upstream.keep(pooled, None),
        Err(CheckoutError::Refused) => {}
        Err(CheckoutError::Limit | CheckoutError::Failed) => return false,
    }
    true
}
