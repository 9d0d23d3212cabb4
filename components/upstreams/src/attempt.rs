//! One request to one upstream, in a slot.

use std::time::Duration;

use clock::Millis;
use telemetry::names;

use crate::call::{Call, HEDGE_QUANTILE};
use crate::crashes::Crash;
use crate::failure::{Failure, Ran, Reason, Result};
use crate::message::{Answer, Recipient, UpstreamReport};
use crate::pool::Pool;
use crate::slot::Slot;
use crate::upstream::{LeaseError, Running, Upstream};

const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;

// An attempt that takes this many times as long as nearly all others, and
// longer than the margin, counts against the upstream.
const SLOW_FACTOR: f64 = 1.4;
const SLOW_MARGIN: Millis = Millis(5);

/// An attempt that is running; dropping it cancels the request, mostly since
/// its hedge won, and notes an upstream that was far too slow.
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
        let usual = self.pool.latency.borrow().mean_ms();
        let mut pace = self.upstream.pace.borrow_mut();
        pace.record_cancelled(elapsed, usual, now);
        if is_slow(self.pool, elapsed) {
            self.upstream.health.borrow_mut().note_slow(now);
        }
    }
}

/// Whether an attempt took far longer than nearly all do; nothing is slow
/// until enough answers are known.
fn is_slow(pool: &Pool, elapsed: Millis) -> bool {
    let usual = pool.latency.borrow().quantile(HEDGE_QUANTILE);
    usual.is_some_and(|usual| {
        elapsed > usual + SLOW_MARGIN && elapsed.0 as f64 > usual.0 as f64 * SLOW_FACTOR
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
            note_failed_attempt(slot, pool, call, failure, elapsed);
        }
    }
    result
}

/// Leads from a request's identifier to the upstream that failed it.
fn note_failed_attempt(slot: &Slot, pool: &Pool, call: &Call, failure: &Failure, elapsed: Millis) {
    let upstream = &slot.upstream;
    pool.shared.lines.note(|| {
        slog::info!(pool.shared.log, "attempt failed"; "request_id" => call.message.id(),
            "upstream" => &upstream.id, "address" => %upstream.address,
            "reason" => failure.reason.name(), "ran" => ?failure.ran, "elapsed_ms" => elapsed.0,
            "busy" => upstream.busy(), "extra_tokens" => pool.hedges.tokens());
    });
}

async fn exchange(slot: &Slot, pool: &Pool, call: &Call, shard: &str) -> Result<Answer> {
    let upstream = &slot.upstream;
    let mut lease = match upstream.lease().await {
        Ok(lease) => lease,
        Err(LeaseError::Limit) => return Err(Failure::not_run(Reason::Overloaded)),
        Err(LeaseError::Refused) => {
            note_refused(pool, upstream);
            return Err(Failure::not_run(Reason::NoReplica));
        }
    };
    let started = Millis::now();
    let budget = call.deadline.since(started);
    let recipient = Recipient {
        upstream: &upstream.name,
        shard,
    };
    let request = call
        .message
        .to_request(&recipient, budget)
        .ok_or_else(|| Failure::not_run(Reason::UpstreamError))?;
    metrics::counter!(names::SENDS_TOTAL).increment(1);
    let mut attempt = Attempt {
        pool,
        upstream,
        started,
        is_finished: false,
    };
    let sent = lease.conn.send(request, ANSWER_LIMIT_BYTES).await;
    attempt.is_finished = true;
    let response = match sent {
        Ok(response) => response,
        Err(e) if e.is_unsent() => {
            // The idle connection had been closed by the upstream.
            return Err(Failure::not_run(Reason::NoReplica));
        }
        Err(_) => return Err(note_death(pool, upstream)),
    };
    let reply = call.message.read(&recipient, response);
    if matches!(&reply.result, Err(f) if f.reason == Reason::Mismatch) {
        metrics::counter!(names::MISMATCHES_TOTAL).increment(1);
        upstream.health.borrow_mut().note_failure(Millis::now());
        return reply.result;
    }
    upstream.keep(lease, reply.report.idle_timeout);
    note_answer(pool, upstream, reply.report, started);
    note_outcome(pool, slot, call, &reply.result, started);
    reply.result
}

/// Strikes all that ran on the upstream, not only the request whose
/// connection is the first to be seen dead: what is retried first must not run
/// beside another suspect of the same crash.
fn note_death(pool: &Pool, upstream: &Upstream) -> Failure {
    let now = Millis::now();
    upstream.health.borrow_mut().note_failure(now);
    upstream.health.borrow_mut().note_outcome(true, now);
    match pool.shared.config.confirms_crashes {
        true => upstream.note_lost(now),
        false => {
            upstream.cool_down();
            let running = upstream.running.borrow().clone();
            strike(pool, upstream, &running, now);
        }
    }
    Failure::unknown(Reason::ConnectionDied)
}

fn note_refused(pool: &Pool, upstream: &Upstream) {
    let now = Millis::now();
    upstream.health.borrow_mut().note_refused(now);
    upstream.cool_down();
    strike(pool, upstream, &upstream.take_lost(now), now);
}

fn strike(pool: &Pool, upstream: &Upstream, running: &[Running], now: Millis) {
    if running.is_empty() {
        return;
    }
    for running in running {
        let death = Crash {
            upstream: upstream.id.clone(),
            domain: upstream.domain.clone(),
            alone: running.is_suspect,
            at: now,
        };
        if pool.shared.crashes.record(running.fingerprint, death) {
            slog::warn!(pool.shared.log, "request quarantined"; "fingerprint" => running.fingerprint, "upstream" => &upstream.id);
        }
    }
    pool.shared.notify_peers();
}

fn note_answer(pool: &Pool, upstream: &Upstream, notes: UpstreamReport, started: Millis) {
    let now = Millis::now();
    if let Some(load) = notes.load {
        upstream.health.borrow_mut().note_answered_load(load, now);
    }
    if notes.holds.is_some() {
        upstream.health.borrow_mut().holds = notes.holds;
    }
    if notes.leaving && pool.shared.drains.mark(&upstream.id, &notes.boot) {
        slog::info!(pool.shared.log, "upstream is leaving"; "upstream" => &upstream.id, "told_by" => "answer",
            "after_ms" => now.since(started).0);
        pool.shared.notify_peers();
    }
}

fn note_outcome(pool: &Pool, slot: &Slot, call: &Call, result: &Result<Answer>, started: Millis) {
    let now = Millis::now();
    let upstream = &slot.upstream;
    match result {
        Ok(_) => {
            let elapsed = now.since(started);
            let mut health = upstream.health.borrow_mut();
            health.note_success(upstream.slots.get(), is_slow(pool, elapsed), now);
            pool.latency.borrow_mut().record(elapsed.0 as f64);
            let usual = pool.latency.borrow().mean_ms();
            upstream.pace.borrow_mut().record(elapsed, usual, now);
            if slot.running.is_suspect {
                pool.shared.crashes.clear(call.fingerprint, now);
            }
        }
        Err(f) if f.reason == Reason::SnapshotNotHeld => {
            if let Some(version) = &call.version {
                upstream.health.borrow_mut().note_not_held(version);
            }
            upstream.request_poll();
        }
        Err(f) if f.reason == Reason::Misdirected => {
            slog::info!(pool.shared.log, "upstream was replaced"; "upstream" => &upstream.id,
                "address" => %upstream.address);
            upstream.is_replaced.set(true);
        }
        Err(f) if f.ran == Ran::Unknown => upstream.health.borrow_mut().note_failure(now),
        Err(_) => {}
    }
    let mut health = upstream.health.borrow_mut();
    health.note_outcome(result.is_err(), now);
}
