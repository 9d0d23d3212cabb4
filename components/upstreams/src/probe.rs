//! The background task of each upstream: polls health and load, and keeps
//! connections open.

use std::rc::{Rc, Weak};

use bytes::Bytes;
use clock::Millis;
use futures_util::future::select;
use http::{Request, header};
use rand::RngExt;
use serde::de::DeserializeOwned;
use transport::{Client, Payload};

use crate::pool::Pool;
use crate::upstream::Upstream;
use crate::wire::{HealthReport, LoadReport, ReportedState};

const POLL_INTERVAL_MS: std::ops::Range<u64> = 800..1_200;
// A requested poll comes at least this long after the one before.
const MIN_POLL_GAP_MS: std::ops::Range<u64> = 20..40;
const START_JITTER_MS: std::ops::Range<u64> = 0..50;
const POLL_TIMEOUT: Millis = Millis(1_000);
const REPORT_LIMIT_BYTES: usize = 64 * 1024;
// An upstream that this daemon used without owning it is polled for this long
// after its last use.
const USE_VALIDITY: Millis = Millis(5_000);

/// Polls an upstream of a pool while this daemon owns or uses it.
pub(crate) async fn run(
    pool: Weak<Pool>,
    upstream: Rc<Upstream>,
    is_owned: impl Fn(&Upstream) -> bool,
) {
    let client = Client::new(upstream.address);
    pause(START_JITTER_MS).await;
    loop {
        let Some(pool) = pool.upgrade() else {
            return;
        };
        let was_used = Millis::now().since(upstream.last_used.get()) < USE_VALIDITY
            && upstream.last_used.get().0 > 0;
        if is_owned(&upstream) || was_used {
            poll(&pool, &upstream, &client).await;
        } else {
            upstream.close_idle();
        }
        drop(pool);
        pause(MIN_POLL_GAP_MS).await;
        let requested = std::pin::pin!(upstream.poll_requested());
        let due = std::pin::pin!(pause(POLL_INTERVAL_MS));
        select(requested, due).await;
    }
}

async fn pause(range: std::ops::Range<u64>) {
    let ms = rand::rng().random_range(range);
    compio::time::sleep(Millis(ms).into()).await;
}

async fn poll(pool: &Rc<Pool>, upstream: &Upstream, client: &Client) {
    if let Some(report) = fetch::<HealthReport>(client, "/health").await {
        record_health(pool, upstream, report);
        upstream.warm_up().await;
    }
    if let Some(report) = fetch::<LoadReport>(client, "/load").await {
        upstream
            .health
            .borrow_mut()
            .record_polled_load(report.load, Millis::now());
    }
    pool.grant_slots();
}

async fn fetch<T: DeserializeOwned>(client: &Client, path: &str) -> Option<T> {
    let request = Request::get(path)
        .header(header::HOST, "upstream")
        .body(Payload::new(Bytes::new()))
        .ok()?;
    let response = client
        .send(request, REPORT_LIMIT_BYTES, POLL_TIMEOUT)
        .await
        .ok()?;
    serde_json::from_slice(response.body()).ok()
}

fn record_health(pool: &Pool, upstream: &Upstream, report: HealthReport) {
    let drains = &pool.shared.drains;
    let is_new_process = drains
        .boot_of(&upstream.process)
        .is_some_and(|boot| boot != report.boot);
    let is_changed = match report.state {
        ReportedState::Leaving => drains.mark(&upstream.process, &report.boot),
        _ if is_new_process => drains.clear(&upstream.process, &report.boot),
        _ => false,
    };
    if is_changed {
        slog::info!(pool.shared.log, "upstream leaving state changed"; "upstream" => &upstream.id, "source" => "health",
            "leaving" => report.state == ReportedState::Leaving);
        pool.shared.notify_peers();
    }
    let mut health = upstream.health.borrow_mut();
    let is_restarted = !health.boot.is_empty() && health.boot != report.boot;
    if is_restarted || report.state == ReportedState::Cold {
        health.ramp = 1;
    }
    health.reported = report.state;
    health.boot = report.boot;
    health.holds = Some(report.holds);
}
