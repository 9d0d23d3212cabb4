//! Watches whether any upstream can be reached from this daemon.

use std::rc::Rc;

use clock::Millis;
use slog::{info, warn};
use telemetry::names;
use upstreams::LinkCheck;

use crate::state::Gateway;

/// Interval between looks at the evidence, and between checks while the links are lost.
const INTERVAL: Millis = Millis(100);
const LOST_INTERVAL: Millis = Millis(300);

/// Watches the links to the upstreams, the upstreams where abandoned requests may run, and
/// those that have fallen silent, until the task is dropped.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    loop {
        let links = &gateway.fleet.shared().links;
        let interval = match links.are_cut() {
            true => LOST_INTERVAL,
            false => INTERVAL,
        };
        compio::time::sleep(interval.into()).await;
        gateway.fleet.shared().watch_abandoned();
        if !links.are_cut() {
            gateway.fleet.pools().iter().for_each(|p| p.check_silent());
        }
        if links.are_cut() || needs_check(&gateway) {
            check(&gateway).await;
        }
    }
}

fn needs_check(gateway: &Gateway) -> bool {
    let pools = gateway.fleet.pools();
    let waiting = pools.iter().flat_map(|p| p.oldest_requests());
    let links = &gateway.fleet.shared().links;
    links.needs_check(waiting, Millis::now())
}

/// Checks the links and acts on a change.
async fn check(gateway: &Gateway) {
    let shared = gateway.fleet.shared();
    let (has_links, outcome) = match shared.check_links().await {
        LinkCheck::Reachable => (true, "reachable"),
        LinkCheck::Unreachable => (false, "unreachable"),
        LinkCheck::Unknown => return,
    };
    metrics::counter!(names::LINK_CHECKS_TOTAL, "outcome" => outcome).increment(1);
    let is_changed = shared.links.record_check(has_links, Millis::now());
    match has_links {
        _ if !is_changed => {}
        true => {
            info!(gateway.log, "upstreams reachable again");
            forget_failures(gateway);
        }
        false => {
            warn!(gateway.log, "no upstream reachable from this daemon";
                "in_flight" => gateway.in_flight.count());
        }
    }
}

/// Forgets what this daemon concluded while its links were lost, and the connections
/// from before.
fn forget_failures(gateway: &Gateway) {
    for pool in gateway.fleet.pools() {
        pool.close_idle();
        pool.forget_failures();
    }
    gateway.limiters.reset();
}
