//! What an attempt shows about its upstream: health, latency, crashes and whether
//! it is leaving. Sends nothing.

use std::rc::Rc;

use clock::Millis;
use telemetry::names;

use crate::call::{Call, HEDGE_QUANTILE};
use crate::crash_check::{check_crash, record_crashes};
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::{Answer, RateReport, UpstreamReport};
use crate::pool::Pool;
use crate::sent::SentRequest;
use crate::slot::Slot;
use crate::upstream::Upstream;

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
/// crash. With `confirms_crashes`, crashes are recorded only if the upstream
/// accepts no new connection.
pub(crate) async fn record_lost_connection(pool: &Rc<Pool>, upstream: &Rc<Upstream>) -> Failure {
    let now = Millis::now();
    upstream.health.borrow_mut().record_failure(now);
    upstream.health.borrow_mut().record_outcome(true, now);
    pool.shared.links.record_failure(&upstream.process, now);
    log_lost_connection(pool, upstream);
    match pool.shared.config.confirms_crashes {
        true => check_crash(pool, upstream).await,
        false => {
            upstream.close_idle();
            let requests: Vec<SentRequest> = upstream.sent.borrow().values().cloned().collect();
            record_crashes(&pool.shared, upstream, &requests, now);
        }
    }
    Failure::unknown(Reason::ConnectionDied)
}

/// Records an answer that is malformed or unbounded; its connection is closed with
/// the attempt. The upstream has not ended.
pub(crate) fn record_unusable(
    pool: &Pool,
    upstream: &Upstream,
    error: &transport::Error,
) -> Failure {
    let now = Millis::now();
    upstream.health.borrow_mut().record_failure(now);
    upstream.health.borrow_mut().record_outcome(true, now);
    metrics::counter!(names::UNUSABLE_ANSWERS_TOTAL).increment(1);
    pool.shared.log_limiter.write(|| {
        slog::warn!(pool.shared.log, "answer unusable"; "upstream" => &upstream.id,
            "address" => %upstream.address, "error" => %error);
    });
    Failure::unknown(Reason::UnusableAnswer)
}

/// Logs which requests ran on an upstream when a connection to it was lost.
fn log_lost_connection(pool: &Pool, upstream: &Upstream) {
    metrics::counter!(names::LOST_CONNECTIONS_TOTAL).increment(1);
    pool.shared.log_limiter.write(|| {
        let sent = upstream.sent.borrow();
        let fingerprints: Vec<u64> = sent.values().map(|r| r.fingerprint).collect();
        slog::info!(pool.shared.log, "connection lost during requests"; "upstream" => &upstream.id,
            "fingerprints" => ?fingerprints);
    });
}

pub(crate) fn record_refused(pool: &Pool, upstream: &Upstream) {
    let now = Millis::now();
    pool.shared.links.record_failure(&upstream.process, now);
    upstream.health.borrow_mut().record_refused(now);
    upstream.close_idle();
}

pub(crate) fn record_report(
    pool: &Rc<Pool>,
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
    if let Some(header) = report.unreadable {
        pool.shared.log_limiter.write(|| {
            slog::warn!(pool.shared.log, "header of an answer ignored"; "upstream" => &upstream.id,
                "header" => &header);
        });
    }
    if let Some(wait) = report.backoff {
        record_backoff(pool, upstream, wait, now);
    }
    record_rate_limit(pool, upstream, report.rate, started);
    if report.leaving && pool.shared.drains.mark(&upstream.process, &report.boot) {
        slog::info!(pool.shared.log, "upstream is leaving"; "upstream" => &upstream.id, "source" => "answer",
            "after_ms" => now.since(started).0);
        pool.shared.notify_peers();
        pool.drop_unservable();
    }
}

/// Keeps what an upstream says of the rate of requests that it takes.
fn record_rate_limit(pool: &Pool, upstream: &Upstream, rate: RateReport, started: Millis) {
    let (limits, now) = (&pool.shared.rate_limits, Millis::now());
    match rate {
        RateReport::PerSecond(per_second) if limits.record(&upstream.process, per_second, now) => {
            metrics::counter!(names::RATE_LIMITS_TOTAL).increment(1);
            pool.shared.log_limiter.write(|| {
                slog::info!(pool.shared.log, "upstream named a rate limit"; "upstream" => &upstream.id,
                    "per_second" => per_second);
            });
        }
        RateReport::PerSecond(_) | RateReport::Unknown => {}
        RateReport::Unlimited if limits.is_empty() => {}
        RateReport::Unlimited => {
            if let Some(ended) = limits.end(&upstream.process, started) {
                slog::info!(pool.shared.log, "upstream named a rate limit no longer"; "upstream" => &upstream.id,
                    "per_second" => ended.per_second, "sends" => ended.sends);
            }
        }
    }
}

/// Sends nothing to an upstream for a while, and little at first afterwards.
fn record_backoff(pool: &Rc<Pool>, upstream: &Upstream, wait: Millis, now: Millis) {
    if !pool.shared.backoffs.record(&upstream.process, wait, now) {
        return;
    }
    upstream.health.borrow_mut().ramp = 1;
    metrics::counter!(names::BACKOFFS_TOTAL).increment(1);
    pool.shared.log_limiter.write(|| {
        slog::info!(pool.shared.log, "upstream asked for backoff"; "upstream" => &upstream.id,
            "wait_ms" => wait.0);
    });
    pool.drop_unservable();
}

pub(crate) fn record_outcome(
    pool: &Pool,
    slot: &Slot,
    call: &Call,
    shard: &str,
    result: &Result<Answer>,
    started: Millis,
) {
    let now = Millis::now();
    let upstream = &slot.upstream;
    let is_misdirected = matches!(result, Err(f) if f.reason == Reason::Misdirected);
    if !is_misdirected {
        upstream.silence.record_answer(now);
        upstream.unanswered.outlive(now);
    }
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
            pool.shared.silent.record_success(call.fingerprint, shard);
            if pool.shared.crashes.clear(call.fingerprint, shard, now) {
                slog::debug!(pool.shared.log, "suspect cleared"; "fingerprint" => call.fingerprint,
                    "upstream" => &upstream.id, "shard" => shard);
                pool.shared.notify_peers();
            }
        }
        Err(f) if f.reason == Reason::SnapshotNotHeld => {
            if let Some(version) = &call.version {
                upstream.health.borrow_mut().record_not_held(version);
            }
            upstream.request_poll();
        }
        Err(_) if is_misdirected => {
            slog::info!(pool.shared.log, "upstream was replaced"; "upstream" => &upstream.id,
                "address" => %upstream.address);
            upstream.is_replaced.set(true);
            let limits = &pool.shared.cold_limits;
            limits.give_back(&upstream.process, Millis::since_boot());
            pool.drop_unservable();
            pool.shared.record_replaced(upstream);
        }
        Err(f) if f.ran == Ran::Unknown => upstream.health.borrow_mut().record_failure(now),
        Err(_) => {}
    }
    let mut health = upstream.health.borrow_mut();
    health.record_outcome(result.is_err(), now);
}
