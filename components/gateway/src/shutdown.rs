//! Graceful shutdown after a stop signal.

use std::rc::Rc;

use clock::Millis;
use discovery::Registration;
use slog::{info, warn};

use crate::drain::DrainSchedule;
use crate::state::Gateway;

const CHECK_INTERVAL: Millis = Millis(20);
/// Longest wait for the removal of the registration.
const REGISTRATION_TIMEOUT: Millis = Millis(1_500);

/// Serves until the load balancer has removed this daemon and all callers'
/// connections are closed, or until little of the grace period is left; then
/// finishes the requests in flight, and refuses those that outlast the schedule.
/// Meanwhile responses carry `Connection: close`, so that callers close their
/// connections.
pub(crate) async fn drain(gateway: &Rc<Gateway>, registration: &Registration) {
    let started = Millis::now();
    let grace_period = gateway.settings.borrow().grace_period;
    let schedule = DrainSchedule::new(started, grace_period);
    info!(gateway.log, "leaving"; "in_flight" => gateway.in_flight.count(),
        "connections" => gateway.caller_connections.get(), "grace_ms" => grace_period.0);
    gateway.drain.set(Some(schedule));
    compio::time::timeout(REGISTRATION_TIMEOUT.into(), registration.end())
        .await
        .ok();
    let all_closed = || gateway.caller_connections.get() == 0;
    let is_idle = || all_closed() && gateway.in_flight.count() == 0;
    wait_until(schedule.close_at, || {
        Millis::now() >= schedule.balanced_at && all_closed()
    })
    .await;
    gateway.caller_shutdown.begin();
    wait_until(schedule.answer_by, is_idle).await;
    let outlasting = gateway.in_flight.count();
    gateway.answers_due.begin();
    wait_until(schedule.exit_at, is_idle).await;
    log_cut_requests(gateway, started);
    info!(gateway.log, "stopped"; "refused" => outlasting, "cut" => gateway.in_flight.count(),
        "after_ms" => Millis::now().since(started).0);
}

/// Waits until the condition holds, at most until `latest`.
async fn wait_until(latest: Millis, is_done: impl Fn() -> bool) {
    while Millis::now() < latest && !is_done() {
        compio::time::sleep(CHECK_INTERVAL.into()).await;
    }
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
