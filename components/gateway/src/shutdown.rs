//! Graceful shutdown after a stop signal.

use std::rc::Rc;

use clock::Millis;
use discovery::Registration;
use slog::{info, warn};

use crate::shutdown_schedule::ShutdownSchedule;
use crate::state::Gateway;

const CHECK_INTERVAL: Millis = Millis(20);
/// Shortest time for writing the last answers, if the schedule is late because
/// the machine was busy.
const MIN_ANSWER_TIME: Millis = Millis(100);

/// Serves until the load balancer has removed this daemon and all callers'
/// connections are closed, or until little of the grace period is left; then
/// finishes the requests in flight, and refuses those that outlast the schedule.
/// Meanwhile responses carry `Connection: close`, so that callers close their
/// connections.
pub(crate) async fn drain(gateway: &Rc<Gateway>, registration: Rc<Registration>) {
    let started = Millis::now();
    let grace_period = gateway.settings.borrow().grace_period;
    let schedule = ShutdownSchedule::new(started, grace_period);
    info!(gateway.log, "leaving"; "in_flight" => gateway.in_flight.count(),
        "connections" => gateway.caller_connections.get(), "grace_ms" => grace_period.0);
    gateway.shutdown.set(Some(schedule));
    compio::runtime::spawn(async move { registration.end().await }).detach();
    let all_closed = || gateway.caller_connections.get() == 0;
    let all_answered = || all_closed() && gateway.in_flight.count() == 0;
    let all_ended = || all_answered() && gateway.detached.count() == 0;
    wait_until(schedule.close_at, || {
        Millis::now() >= schedule.unlisted_at && all_closed()
    })
    .await;
    gateway.caller_shutdown.set();
    wait_until(schedule.answer_by, all_ended).await;
    let outlasting = gateway.in_flight.count();
    gateway.answers_due.set();
    let exit_at = schedule.exit_at.max(Millis::now() + MIN_ANSWER_TIME);
    wait_until(exit_at, all_ended).await;
    log_cut_requests(gateway, started);
    info!(gateway.log, "stopped"; "outlasting" => outlasting, "cut" => gateway.in_flight.count(),
        "detached" => gateway.detached.count(), "connections" => gateway.caller_connections.get(),
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
