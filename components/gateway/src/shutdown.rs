//! Graceful shutdown after a stop signal.

use std::rc::Rc;

use clock::Millis;
use discovery::Registration;
use slog::{info, warn};

use crate::state::Gateway;

const CHECK_INTERVAL: Millis = Millis(20);
/// Time until the load balancer sends no new connections: it needs two failed
/// readiness checks, one second apart, and some time to distribute the change.
const BALANCER_DELAY: Millis = Millis(2_500);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Millis = Millis(400);
/// Part of the grace period that is reserved for requests that still run when
/// connections are closed.
const CLOSE_RESERVE: Millis = Millis(1_500);

/// Serves until the load balancer has removed this daemon and all callers'
/// connections are closed, or until little of the grace period is left; then
/// finishes the requests in flight. Meanwhile responses carry `Connection: close`,
/// so that callers close their connections.
pub(crate) async fn drain(gateway: &Rc<Gateway>, registration: &Registration) {
    let started = Millis::now();
    let grace_period = gateway.settings.borrow().grace_period;
    info!(gateway.log, "leaving"; "in_flight" => gateway.in_flight.count(),
        "connections" => gateway.caller_connections.get(), "grace_ms" => grace_period.0);
    gateway.is_leaving.set(true);
    let end = started + (grace_period - EXIT_RESERVE);
    let close_at = started + (grace_period - EXIT_RESERVE - CLOSE_RESERVE);
    compio::time::timeout(CLOSE_RESERVE.into(), registration.end())
        .await
        .ok();
    let all_closed = || gateway.caller_connections.get() == 0;
    wait_until(|| {
        let now = Millis::now();
        now >= close_at || (now >= started + BALANCER_DELAY && all_closed())
    })
    .await;
    gateway.caller_shutdown.begin();
    wait_until(|| Millis::now() >= end || (all_closed() && gateway.in_flight.count() == 0)).await;
    log_cut_requests(gateway, started);
    info!(gateway.log, "stopped"; "cut" => gateway.in_flight.count(),
        "after_ms" => Millis::now().since(started).0);
}

/// Logs the requests that get no answer because the process exits; `started` is
/// the time of the stop signal.
fn log_cut_requests(gateway: &Gateway, started: Millis) {
    let now = Millis::now();
    for request in gateway.in_flight.list() {
        gateway.fleet.shared().log_limiter.write(|| {
            warn!(gateway.log, "request cut"; "request_id" => &request.id,
                "route" => &request.route, "elapsed_ms" => now.since(request.arrived).0,
                "arrived_after_stop_ms" => request.arrived.since(started).0);
        });
    }
}

async fn wait_until(is_done: impl Fn() -> bool) {
    while !is_done() {
        compio::time::sleep(CHECK_INTERVAL.into()).await;
    }
}
