//! One attempt: a request sent to one upstream while a slot is held.

use std::time::Duration;

use clock::Millis;
use telemetry::names;

use crate::call::{Call, HEDGE_QUANTILE};
use crate::crashes::Crash;
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::{Answer, Recipient, UpstreamReport};
use crate::pool::Pool;
use crate::slot::Slot;
use crate::upstream::{CheckoutError, Running, Upstream};

const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

// An attempt is slow if it takes longer than the hedge quantile of the pool's
// latency times this factor, and longer than the quantile plus this margin.
const SLOW_FACTOR: f64 = 1.4;
const SLOW_MARGIN: Millis = Millis(5);

/// A running attempt.
///
/// Dropping it before it is finished cancels the request, mostly because its
/// hedge was answered first, and records the time for the upstream's latency
/// and, if it was slow, for its health.
struct Attempt<'a> {
    pool: &'a Pool,
    upstream: &'a Upstream,
    started: Millis,
    is_finished: bool,
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let now = Millis::now();
        if self.is_finished {
            return;
        }
        let elapsed = now.since(self.started);
        let pool_mean_ms = self.pool.latency.borrow().mean_ms();
        let mut latency = self.upstream.latency.borrow_mut();
        latency.record_cancelled(elapsed, pool_mean_ms, now);
        if is_slow(self.pool, elapsed) {
            self.upstream.health.borrow_mut().record_slow(now);
        }
    }
}

/// Whether an attempt took far longer than nearly all others; no attempt is
/// slow until the pool's latency has enough samples.
fn is_slow(pool: &Pool, elapsed: Millis) -> bool {
    let quantile = pool.latency.borrow().quantile(HEDGE_QUANTILE);
    quantile.is_some_and(|quantile| {
        elapsed > quantile + SLOW_MARGIN && elapsed.0 as f64 > quantile.0 as f64 * SLOW_FACTOR
    })
}

/// Sends a call to the slot's upstream and checks the answer.
pub(crate) async fn run(slot: &Slot, pool: &Pool, call: &Call, shard: &str) -> Result<Answer> {
    let began = Millis::now();
    let result = exchange(slot, pool, call, shard).await;
    let elapsed = Millis::now().since(began);
    let seconds = Duration::from(elapsed).as_secs_f64();
    match &result {
        Ok(_) => pool.attempt_seconds.answered.record(seconds),
        Err(failure) => {
            pool.attempt_seconds.failed.record(seconds);
            log_failed_attempt(slot, pool, call, failure, elapsed);
        }
    }
    result
}

/// Logs which upstream failed the request, by the request's identifier.
fn log_failed_attempt(slot: &Slot, pool: &Pool, call: &Call, failure: &Failure, elapsed: Millis) {
    let upstream = &slot.upstream;
    pool.shared.log_limiter.write(|| {
        slog::info!(pool.shared.log, "attempt failed"; "request_id" => call.message.id(),
            "upstream" => &upstream.id, "address" => %upstream.address,
            "reason" => failure.reason.name(), "ran" => ?failure.ran, "elapsed_ms" => elapsed.0,
            "busy" => upstream.busy(), "extra_tokens" => pool.hedges.tokens());
    });
}

async fn exchange(slot: &Slot, pool: &Pool, call: &Call, shard: &str) -> Result<Answer> {
    let upstream = &slot.upstream;
    let mut pooled = match upstream.check_out().await {
        Ok(pooled) => pooled,
        Err(CheckoutError::Limit) => return Err(Failure::not_run(Reason::Overloaded)),
        Err(CheckoutError::Refused) => {
            record_refused(pool, upstream);
            return Err(Failure::not_run(Reason::NoReplica));
        }
    };
    let started = Millis::now();
    let time_left = call.deadline.since(started);
    let recipient = Recipient {
        upstream: &upstream.name,
        shard,
    };
    let request = call
        .message
        .to_request(&recipient, time_left)
        .ok_or_else(|| Failure::not_run(Reason::UpstreamError))?;
    metrics::counter!(names::SENDS_TOTAL).increment(1);
    let mut attempt = Attempt {
        pool,
        upstream,
        started,
        is_finished: false,
    };
    let sent = pooled.conn.send(request, ANSWER_LIMIT_BYTES).await;
    attempt.is_finished = true;
    let response = match sent {
        Ok(response) => response,
        Err(e) if e.is_unsent() => {
            // The upstream had closed the idle connection.
            return Err(Failure::not_run(Reason::NoReplica));
        }
        Err(_) => return Err(record_lost_connection(pool, upstream)),
    };
    let reply = call.message.read(&recipient, response);
    if matches!(&reply.result, Err(f) if f.reason == Reason::Mismatch) {
        metrics::counter!(names::MISMATCHES_TOTAL).increment(1);
        upstream.health.borrow_mut().record_failure(Millis::now());
        return reply.result;
    }
    upstream.keep(pooled, reply.report.idle_timeout);
    record_report(pool, upstream, reply.report, started);
    record_outcome(pool, slot, call, &reply.result, started);
    reply.result
}

/// Records a lost connection, and a crash for all requests that ran on the
/// upstream, not only for the one whose connection is the first found lost: a
/// request that is retried must not run beside another suspect of the same
/// crash. With `confirms_crashes`, crashes are recorded only once the upstream
/// refuses a connection.
fn record_lost_connection(pool: &Pool, upstream: &Upstream) -> Failure {
    let now = Millis::now();
    upstream.health.borrow_mut().record_failure(now);
    upstream.health.borrow_mut().record_outcome(true, now);
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

fn record_refused(pool: &Pool, upstream: &Upstream) {
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
        if pool.shared.crashes.record(running.fingerprint, crash) {
            slog::warn!(pool.shared.log, "request quarantined"; "fingerprint" => running.fingerprint, "upstream" => &upstream.id);
        }
    }
    pool.shared.notify_peers();
}

fn record_report(pool: &Pool, upstream: &Upstream, report: UpstreamReport, started: Millis) {
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

fn record_outcome(pool: &Pool, slot: &Slot, call: &Call, result: &Result<Answer>, started: Millis) {
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
