//! The shutdown after a signal.

use std::rc::Rc;

use clock::Millis;
use discovery::Registration;
use slog::info;

use crate::state::Gateway;

const CHECK_INTERVAL: Millis = Millis(20);
/// The load balancer needs two failed questions, a second apart, and some
/// time to tell its parts.
const BALANCER_LAG: Millis = Millis(2_500);
/// Kept back from the grace, for the end of the process itself.
const EXIT_RESERVE: Millis = Millis(400);
/// Time for answers that still run after connections are told to close.
const CLOSE_RESERVE: Millis = Millis(1_500);

/// Serves until the load balancer has noticed, then finishes what is in
/// flight; answers tell callers to close their connections meanwhile.
pub(crate) async fn drain(gateway: &Rc<Gateway>, registration: &Registration) {
    let began = Millis::now();
    let grace = gateway.settings.borrow().grace_period;
    info!(gateway.log, "leaving"; "in_flight" => gateway.in_flight.get(),
        "connections" => gateway.callers_open.get(), "grace_ms" => grace.0);
    gateway.is_leaving.set(true);
    let end = began + (grace - EXIT_RESERVE);
    let close_at = began + (grace - EXIT_RESERVE - CLOSE_RESERVE);
    compio::time::timeout(CLOSE_RESERVE.into(), registration.end())
        .await
        .ok();
    let is_quiet = || gateway.callers_open.get() == 0;
    wait_until(|| {
        let now = Millis::now();
        now >= close_at || (now >= began + BALANCER_LAG && is_quiet())
    })
    .await;
    gateway.callers_shutdown.begin();
    wait_until(|| Millis::now() >= end || (is_quiet() && gateway.in_flight.get() == 0)).await;
    info!(gateway.log, "stopped"; "cut" => gateway.in_flight.get(),
        "after_ms" => Millis::now().since(began).0);
}

async fn wait_until(is_done: impl Fn() -> bool) {
    while !is_done() {
        compio::time::sleep(CHECK_INTERVAL.into()).await;
    }
}
