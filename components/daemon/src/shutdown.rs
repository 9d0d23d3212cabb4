//! The shutdown after SIGTERM, SIGINT or an operator's request.

use std::rc::Rc;

use clock::Millis;
use futures_util::future::{Either, select};
use slog::info;
use transport::stop_signal;

use crate::state::Daemon;

const CHECK_INTERVAL: Millis = Millis(20);

/// Waits until a signal or an operator requests that this daemon leaves.
pub(crate) async fn wait_for_stop_request(daemon: &Daemon) {
    let signal = std::pin::pin!(stop_signal());
    let request = std::pin::pin!(daemon.leave_signal.wait());
    select(signal, request).await;
}

/// Announces the shutdown, serves for the grace period, then finishes requests
/// in flight; a second signal ends the shutdown immediately.
pub(crate) async fn drain(daemon: Rc<Daemon>) {
    let graceful = std::pin::pin!(drain_gracefully(&daemon));
    let second_signal = std::pin::pin!(stop_signal());
    if let Either::Right(_) = select(graceful, second_signal).await {
        info!(daemon.log, "stopped by a second signal"; "in_flight" => daemon.root.in_flight());
    }
}

async fn drain_gracefully(daemon: &Daemon) {
    info!(daemon.log, "leaving"; "in_flight" => daemon.root.in_flight(), "grace_ms" => daemon.settings.grace_ms.0);
    daemon.is_leaving.set(true);
    daemon.members.leave().await;
    compio::time::sleep(daemon.settings.grace_ms.into()).await;
    let in_flight_after_grace = daemon.root.in_flight();
    daemon.callers_shutdown.begin();
    let end = Millis::now() + daemon.settings.drain_ms;
    while daemon.is_busy() && Millis::now() < end {
        compio::time::sleep(CHECK_INTERVAL.into()).await;
    }
    daemon.peers_shutdown.begin();
    compio::time::sleep(CHECK_INTERVAL.into()).await;
    info!(daemon.log, "drained"; "finished" => in_flight_after_grace, "cut" => daemon.root.in_flight());
}

impl Daemon {
    /// Whether requests of callers or sub-requests of peers are in flight.
    fn is_busy(&self) -> bool {
        let has_slots_in_use = self.pools.all().iter().any(|p| p.is_busy());
        self.root.in_flight() > 0 || has_slots_in_use || self.callers_open.get() > 0
    }
}
