//! The shutdown after SIGTERM, SIGINT or an operator's request.

use std::pin::pin;

use clock::Millis;
use futures_util::future::{Either, join, select};
use slog::{info, warn};
use transport::stop_signal;

use crate::in_flight::InFlightRequest;
use crate::schedule::Schedule;
use crate::state::Daemon;

const CHECK_INTERVAL: Millis = Millis(20);
/// Requests that are cut and logged one by one; `drained` has the number of all.
const MAX_CUT_LINES: usize = 100;
/// Shortest time for the answers of the requests that are cut, if the schedule is
/// late because the machine was busy.
const MIN_ANSWER_TIME: Millis = Millis(100);

/// Waits until a signal or an operator requests that this daemon leaves, and shuts
/// it down; one more signal during the shutdown cuts the requests at once.
pub(crate) async fn run(daemon: &Daemon) {
    let mut signal = Box::pin(stop_signal());
    let request = pin!(daemon.leave_signal.wait());
    let guard = match select(&mut signal, request).await {
        Either::Left((guard, _)) => Some(guard),
        Either::Right(_) => None,
    };
    let next_signal = async {
        let _guard = match guard {
            Some(guard) => guard,
            // An operator requested the shutdown; the first signal repeats this.
            None => signal.await,
        };
        stop_signal().await
    };
    shut_down(daemon, next_signal).await;
}

/// Announces the shutdown, serves for the grace period, finishes requests in
/// flight and answers those that take too long or that `hurry` does not let finish.
async fn shut_down<T>(daemon: &Daemon, hurry: impl Future<Output = T>) {
    let stopped = Millis::now();
    let settings = &daemon.settings;
    let schedule = Schedule::new(stopped, settings.grace_ms, settings.drain_ms);
    info!(daemon.log, "leaving"; "in_flight" => daemon.in_flight.count(), "grace_ms" => settings.grace_ms.0);
    let finished_before = daemon.in_flight.finished();
    daemon.is_leaving.set(true);
    daemon.server.exit.set(schedule.finish_by);
    let finishing = pin!(finish_requests(daemon, &schedule));
    if let Either::Right(_) = select(finishing, pin!(hurry)).await {
        info!(daemon.log, "stopped by a second signal"; "in_flight" => daemon.in_flight.count());
    }
    daemon.callers_shutdown.set();
    let cut = daemon.in_flight.cut();
    log_cut_requests(daemon, &cut, stopped);
    daemon.peers_shutdown.set();
    let now = Millis::now();
    let exit_at = schedule.exit_at(now).max(now + MIN_ANSWER_TIME);
    wait_until(|| daemon.has_answered() || Millis::now() >= exit_at).await;
    info!(daemon.log, "drained"; "finished" => daemon.in_flight.finished() - finished_before,
        "cut" => cut.len(), "connections" => daemon.callers_open.get(),
        "unreleased" => daemon.ledger.unreleased(),
        "after_ms" => Millis::now().since(stopped).0);
}

/// Serves for the grace period, and then until no request is in flight or the rest
/// is to be cut.
async fn finish_requests(daemon: &Daemon, schedule: &Schedule) {
    let closing = async {
        compio::time::sleep(schedule.close_at.since(Millis::now()).into()).await;
        daemon.callers_shutdown.set();
    };
    join(announce(daemon, schedule), closing).await;
    wait_until(|| !daemon.is_busy() || Millis::now() >= schedule.cut_at).await;
}

/// Informs all peers that this daemon leaves; one that does not answer takes no
/// time from the answers to requests in flight.
async fn announce(daemon: &Daemon, schedule: &Schedule) {
    let left = schedule.cut_at.since(Millis::now());
    let announced = compio::time::timeout(left.into(), daemon.members.leave()).await;
    if announced.is_err() {
        warn!(daemon.log, "not all peers confirmed the leave");
    }
}

/// Logs the requests that are answered without their outcome; `stopped` is the
/// time of the stop request.
fn log_cut_requests(daemon: &Daemon, cut: &[InFlightRequest], stopped: Millis) {
    let now = Millis::now();
    for request in cut.iter().take(MAX_CUT_LINES) {
        warn!(daemon.log, "request cut"; "request_id" => &request.id, "kind" => request.kind,
            "service" => &request.service, "elapsed_ms" => now.since(request.arrived).0,
            "arrived_after_stop_ms" => request.arrived.since(stopped).0);
    }
}

async fn wait_until(is_done: impl Fn() -> bool) {
    while !is_done() {
        compio::time::sleep(CHECK_INTERVAL.into()).await;
    }
}

impl Daemon {
    /// Whether requests are in flight, callers are connected, upstreams still run
    /// sub-requests or claims wait for their release.
    fn is_busy(&self) -> bool {
        let has_slots_in_use = self.pools.all().iter().any(|p| p.is_busy());
        let has_requests = self.in_flight.count() > 0 || has_slots_in_use;
        has_requests || self.callers_open.get() > 0 || self.ledger.releases() > 0
    }

    /// Whether all requests have ended, all unused claims are released and all
    /// connections are closed.
    fn has_answered(&self) -> bool {
        let open = self.callers_open.get() + self.peers_open.get();
        self.in_flight.count() == 0 && self.ledger.releases() == 0 && open == 0
    }
}
