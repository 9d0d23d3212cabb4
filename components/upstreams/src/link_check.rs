//! Checks of the links to upstreams: whether they accept connections.

use std::rc::Rc;

use clock::Millis;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::pool::Pool;
use crate::shared::Shared;
use crate::upstream::{CheckoutError, PooledConnection, Upstream};

/// Upstreams that are tried in one check.
const SAMPLE: usize = 6;
/// Time for one of several upstreams to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connecting {
    /// It is accepted.
    Accepted,
    /// It is refused.
    Refused,
    /// It is neither within the time.
    TimedOut,
    /// It could not be opened for another reason, which can be this daemon's.
    Failed,
}

impl Connecting {
    /// Whether the upstream can't be reached, and not for a reason of this daemon.
    pub(crate) fn is_unreachable(self) -> bool {
        matches!(self, Connecting::Refused | Connecting::TimedOut)
    }
}

/// Tries to connect within `timeout`; the connection is closed again.
pub(crate) async fn try_connect(upstream: &Upstream, timeout: Millis) -> Connecting {
    open(upstream, timeout)
        .await
        .err()
        .unwrap_or(Connecting::Accepted)
}

/// Tries to connect within `timeout`; the connection is kept for the next request.
pub(crate) async fn connect_idle(upstream: &Upstream, timeout: Millis) -> Connecting {
    match open(upstream, timeout).await {
        Ok(pooled) => {
            upstream.keep(pooled, None);
            Connecting::Accepted
        }
        Err(outcome) => outcome,
    }
}

async fn open(upstream: &Upstream, timeout: Millis) -> Result<PooledConnection, Connecting> {
    let connecting = compio::time::timeout(timeout.into(), upstream.connect());
    match connecting.await {
        Ok(Ok(pooled)) => Ok(pooled),
        Ok(Err(CheckoutError::Refused)) => Err(Connecting::Refused),
        Ok(Err(CheckoutError::Failed | CheckoutError::Limit)) => Err(Connecting::Failed),
        Err(_) => Err(Connecting::TimedOut),
    }
}

/// Result of a check of the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkCheck {
    /// Some upstream accepted a connection.
    Reachable,
    /// None did.
    Unreachable,
    /// No upstream is known outside of evacuated failure domains.
    Unknown,
}

impl Shared {
    /// Tries to connect to some upstreams of all services at once, whatever is known of
    /// them, unless their failure domain is evacuated; the connections are closed again.
    pub async fn check_links(&self) -> LinkCheck {
        self.check_links_without(None).await
    }

    /// Checks the links as [`Shared::check_links`] does, without one of the upstreams.
    pub(crate) async fn check_links_without(&self, excluded: Option<&Rc<Upstream>>) -> LinkCheck {
        let chosen = self.upstreams.sample(SAMPLE, excluded);
        if chosen.is_empty() {
            return LinkCheck::Unknown;
        }
        let mut connecting: FuturesUnordered<_> = chosen.iter().map(can_connect).collect();
        while let Some(is_accepted) = connecting.next().await {
            if is_accepted {
                self.links.record_connection(Millis::now());
                return LinkCheck::Reachable;
            }
        }
        LinkCheck::Unreachable
    }
}

async fn can_connect(upstream: &Rc<Upstream>) -> bool {
    try_connect(upstream, CONNECT_TIMEOUT).await == Connecting::Accepted
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
