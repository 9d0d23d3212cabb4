//! Checks of the links to upstreams: whether they accept connections.

use std::rc::Rc;

use clock::Millis;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::links::Links;
use crate::pool::Pool;
use crate::upstream::Upstream;

/// Time for one of several upstreams to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Whether a new connection is accepted within `timeout`; it is kept for the next
/// request.
pub(crate) async fn accepts(upstream: &Upstream, timeout: Millis) -> bool {
    let connecting = compio::time::timeout(timeout.into(), upstream.connect()).await;
    match connecting {
        Ok(Ok(pooled)) => {
            upstream.keep(pooled, None);
            true
        }
        Ok(Err(_)) | Err(_) => false,
    }
}

/// Whether one of some upstreams accepts a connection, which is closed again; all are
/// tried at once.
pub async fn any_accepts(upstreams: &[Rc<Upstream>], links: &Links) -> bool {
    let connect = async |upstream: &Rc<Upstream>| {
        let connecting = compio::time::timeout(CONNECT_TIMEOUT.into(), upstream.connect());
        matches!(connecting.await, Ok(Ok(_)))
    };
    let mut running: FuturesUnordered<_> = upstreams.iter().map(connect).collect();
    while let Some(is_accepted) = running.next().await {
        if is_accepted {
            links.record_connection(Millis::now());
            return true;
        }
    }
    false
}

impl Pool {
    /// Returns for each upstream with running requests since when the oldest runs.
    pub fn oldest_requests(&self) -> Vec<Millis> {
        let upstreams = self.upstreams().into_iter();
        upstreams.filter_map(|u| u.oldest_since()).collect()
    }

    /// Closes the connections that no request uses.
    pub fn close_idle(&self) {
        self.upstreams().iter().for_each(|u| u.close_idle());
    }

    /// Forgets failures and latencies of all upstreams, because they were those of
    /// this daemon's links.
    pub fn forget_failures(&self) {
        for upstream in self.upstreams() {
            upstream.health.borrow_mut().forget_failures();
            upstream.latency.take();
        }
    }
}
