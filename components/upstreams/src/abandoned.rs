//! Requests whose callers disconnected while they ran. An upstream can go on with such a
//! request, and end by it, until the deadline that came with it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use clock::Millis;

use crate::crash_check::check_crash;
use crate::pool::Pool;
use crate::sent::SentRequest;
use crate::upstream::{CheckoutError, Upstream};

/// Requests that are listed for one upstream; the oldest gives way.
const LIMIT: usize = 64;
/// Interval between looks at the idle connections of an upstream, by which its end is
/// noticed while no request runs there.
const WATCH_INTERVAL: Millis = Millis(50);

/// A cancelled request, abandoned if it was cancelled because its caller disconnected.
#[derive(Debug)]
struct Cancelled {
    request: SentRequest,
    caller_left: Rc<Cell<bool>>,
    /// Deadline that was sent to the upstream.
    deadline: Millis,
}

/// The requests of one upstream that may run on without a caller.
#[derive(Debug, Default)]
pub(crate) struct Abandoned {
    list: RefCell<Vec<Cancelled>>,
    is_watched: Cell<bool>,
}

impl Abandoned {
    /// Adds a cancelled request. Whether its caller has left is known only once the whole
    /// request is dropped, so that `caller_left` is read later.
    pub(crate) fn add(&self, request: SentRequest, caller_left: Rc<Cell<bool>>, deadline: Millis) {
        let mut list = self.list.borrow_mut();
        if list.len() >= LIMIT {
            list.remove(0);
        }
        list.push(Cancelled {
            request,
            caller_left,
            deadline,
        });
    }

    /// Removes all, as the upstream has ended.
    pub(crate) fn clear(&self) {
        self.list.borrow_mut().clear();
    }

    /// Returns the requests that may still run.
    pub(crate) fn requests(&self, now: Millis) -> Vec<SentRequest> {
        let mut list = self.list.borrow_mut();
        list.retain(|c| c.deadline > now);
        let abandoned = list.iter().filter(|c| c.caller_left.get());
        abandoned.map(|c| c.request.clone()).collect()
    }
}

/// Watches an upstream as long as abandoned requests may run there: if its idle connections
/// are closed and no other request would notice its end, it is checked for a crash. A
/// connection is opened if there is none, which the next request uses.
pub(crate) fn watch(pool: &Rc<Pool>, upstream: &Rc<Upstream>) {
    if upstream.abandoned.is_watched.replace(true) {
        return;
    }
    let (pool, upstream) = (pool.clone(), upstream.clone());
    compio::runtime::spawn(async move {
        while !upstream.abandoned.requests(Millis::now()).is_empty() {
            let has_idle = upstream.has_open_idle() || open_idle(&upstream).await;
            compio::time::sleep(WATCH_INTERVAL.into()).await;
            let is_closed = has_idle && !upstream.has_open_idle();
            if is_closed && upstream.sent.borrow().is_empty() {
                check_crash(&pool, &upstream).await;
            }
        }
        upstream.abandoned.is_watched.set(false);
    })
    .detach();
}

/// Opens a connection and keeps it; `false` if the upstream accepts no more from this daemon.
async fn open_idle(upstream: &Upstream) -> bool {
    match upstream.check_out().await {
        Ok(pooled) => upstream.keep(pooled, None),
        Err(CheckoutError::Refused) => {}
        Err(CheckoutError::Limit) => return false,
    }
    true
}
