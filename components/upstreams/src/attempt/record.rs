//! What an attempt shows about its upstream: health, latency, crashes and whether
//! it is leaving. Sends nothing.

use clock::Millis;
use telemetry::names;

use crate::call::{Call, HEDGE_QUANTILE};
use crate::crashes::Crash;
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::{Answer, UpstreamReport};
use crate::pool::Pool;
use crate::slot::Slot;
use crate::upstream::{Running, Upstream};

// An attempt is slow if it takes longer than the hedge quantile of the pool's
// latency times this factor, and longer than the quantile plus this margin.
const SLOW_FACTOR: f64 = 1.4;
const SLOW_MARGIN: Millis = Millis(5);

/// Whether an attempt took far longer than nearly all others; no attempt is
/// slow until the pool's latency has enough samples.
pub(crate) fn is_slow(pool: &Pool, elapsed: Millis) -> bool {
    let quantile = pool.latency.borrow().quantile(HEDGE_QUANTILE);
    quantile.is_some_and(|quantile| {
        elapsed > quantile + SLOW_MARGIN && elapsed.0 as f64 > quantile.0 as f64 * SLOW_FACTOR
    })
}

/// Records a lost connection, and a crash for all requests that ran on the
/// upstream, not only for the one whose connection is the first found lost: a
/// request that is retried must not run beside another suspect of the same
/// crash. With `confirms_crashes`, crashes are recorded only once the upstream
/// refuses a connection.
pub(crate) fn record_lost_connection(pool: &Pool, upstream: &Upstream) -> Failure {
    let now = Millis::now();
    upstream.health.borrow_mut().record_failure(now);
    upstream.health.borrow_mut().record_outcome(true, now);
    log_lost_connection(pool, upstream);
    match pool.shared.config.confirms_crashes {
        true => upstream.record_lost(now),
        false => {
            upstream.close_idle();
            let running = upstream.running.borrow().clone();
            record_crashes(pool, upstream, &running, now);
        }
    }
    Failure::unknown(Reason::ConnectionDied)
}

/// Logs which requests ran on an upstream when a connection to it was lost.
fn log_lost_connection(pool: &Pool, upstream: &Upstream) {
    metrics::counter!(names::LOST_CONNECTIONS_TOTAL).increment(1);
    pool.shared.log_limiter.write(|| {
        let running = upstream.running.borrow();
        let fingerprints: Vec<u64> = running.iter().map(|r| r.fingerprint).collect();
        slog::info!(pool.shared.log, "connection lost under requests"; "upstream" => &upstream.id,
            "fingerprints" => ?fingerprints);
    });
}

pub(crate) fn record_refused(pool: &Pool, upstream: &Upstream) {
    let now = Millis::now();
    upstream.health.borrow_mut().record_refused(now);
    upstream.close_idle();
    record_crashes(pool, upstream, &upstream.take_lost(now), now);
}

fn record_crashes(pool: &Pool, upstream: &Upstream, running: &[Running], now: Millis) {
    if running.is_empty() {
        return;
    }
    for running in running {
        let crash = Crash {
            upstream: upstream.id.clone(),
            domain: upstream.domain.clone(),
            alone: running.is_suspect,
            at: now,
        };
        metrics::counter!(names::CRASHES_TOTAL).increment(1);
        slog::warn!(pool.shared.log, "upstream ended under request"; "fingerprint" => running.fingerprint,
            "upstream" => &upstream.id, "alone" => running.is_suspect,
            "known_crashes" => pool.shared.crashes.crash_domains(running.fingerprint, now).len());
        if pool.shared.crashes.record(running.fingerprint, crash) {
            slog::warn!(pool.shared.log, "request quarantined"; "fingerprint" => running.fingerprint, "upstream" => &upstream.id);
        }
    }
    pool.shared.notify_peers();
}

pub(crate) fn record_report(
    pool: &Pool,
    upstream: &Upstream,
    report: UpstreamReport,
    started: Millis,
) {
    let now = Millis::now();
    if let Some(load) = report.load {
        upstream.health.borrow_mut().record_answered_load(load, now);
    }
    if report.holds.is_some() {
        upstream.health.borrow_mut().holds = report.holds;
    }
    if report.leaving && pool.shared.drains.mark(&upstream.id, &report.boot) {
        slog::info!(pool.shared.log, "upstream is leaving"; "upstream" => &upstream.id, "source" => "answer",
            "after_ms" => now.since(started).0);
        pool.shared.notify_peers();
    }
}

pub(crate) fn record_outcome(
    pool: &Pool,
    slot: &Slot,
    call: &Call,
    result: &Result<Answer>,
    started: Millis,
) {
    let now = Millis::now();
    let upstream = &slot.upstream;
    match result {
        Ok(_) => {
            let elapsed = now.since(started);
            let mut health = upstream.health.borrow_mut();
            health.record_success(upstream.slots.get(), is_slow(pool, elapsed), now);
            pool.latency.borrow_mut().record(elapsed.0 as f64);
            let pool_mean_ms = pool.latency.borrow().mean_ms();
            upstream
                .latency
                .borrow_mut()
                .record(elapsed, pool_mean_ms, now);
            if slot.running.is_suspect {
                pool.shared.crashes.clear(call.fingerprint, now);
            }
        }
        Err(f) if f.reason == Reason::SnapshotNotHeld => {
            if let Some(version) = &call.version {
                upstream.health.borrow_mut().record_not_held(version);
            }
            upstream.request_poll();
        }
        Err(f) if f.reason == Reason::Misdirected => {
            slog::info!(pool.shared.log, "upstream was replaced"; "upstream" => &upstream.id,
                "address" => %upstream.address);
            upstream.is_replaced.set(true);
        }
        Err(f) if f.ran == Ran::Unknown => upstream.health.borrow_mut().record_failure(now),
        Err(_) => {}
    }
    let mut health = upstream.health.borrow_mut();
    health.record_outcome(result.is_err(), now);
}
