//! One attempt: a request sent to one upstream while a slot is held.

mod record;

use std::rc::Rc;
use std::time::Duration;

use clock::Millis;
use telemetry::names;

pub(crate) use crate::attempt::record::record_refused;
use crate::attempt::record::{
    is_slow, record_lost_connection, record_outcome, record_report, record_unusable,
};
use crate::call::Call;
use crate::failure::{Failure, Reason, Result};
use crate::message::{Answer, Recipient};
use crate::pool::Pool;
use crate::sent::{Answered, SentGuard, SentRequest};
use crate::slot::Slot;
use crate::upstream::{CheckoutError, PooledConnection, Upstream};

const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Time for an upstream that may have ended to accept a connection.
const CONNECT_TIMEOUT: Millis = Millis(500);

/// A running attempt.
///
/// Dropping it before it is finished cancels the request, mostly because its
/// hedge was answered first, and records the time for the upstream's latency
/// and, if it was slow, for its health. The upstream may go on with a request
/// whose caller has left.
struct Attempt<'a> {
    pool: &'a Rc<Pool>,
    upstream: &'a Rc<Upstream>,
    call: &'a Call,
    started: Millis,
    is_finished: bool,
    sent: SentGuard<'a>,
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        let now = Millis::now();
        if self.is_finished {
            return;
        }
        let elapsed = now.since(self.started);
        if now >= self.call.deadline {
            log_timeout(self.pool, self.upstream, elapsed);
        }
        let pool_mean_ms = self.pool.latency.borrow().mean_ms();
        let mut latency = self.upstream.latency.borrow_mut();
        latency.record_cancelled(elapsed, pool_mean_ms, now);
        if is_slow(self.pool, elapsed) {
            self.upstream.health.borrow_mut().record_slow(now);
        }
        self.list_unanswered();
        // The caller may have left.
        if self.pool.shared.config.confirms_crashes && now < self.call.deadline {
            self.pool.shared.unwatched.add(self.pool, self.upstream);
        }
    }
}

impl Attempt<'_> {
    /// Lists the request at its upstream, which may end by it. Only if crashes are confirmed,
    /// those of such requests are looked for.
    fn list_unanswered(&self) {
        if !self.pool.shared.config.confirms_crashes {
            return;
        }
        if let Some(request) = self.sent.request() {
            let (caller_left, deadline) = (self.call.caller_left.clone(), self.call.deadline);
            self.upstream.unanswered.add(request, caller_left, deadline);
        }
    }
}

/// Sends a call for a shard to the slot's upstream and checks the answer; `answered` is that
/// of all attempts for the shard.
pub(crate) async fn run(
    slot: &Slot,
    pool: &Rc<Pool>,
    call: &Call,
    shard: &str,
    answered: &Answered,
) -> Result<Answer> {
    let began = Millis::now();
    let result = exchange(slot, pool, call, shard, answered).await;
    if result.is_ok() {
        answered.set();
    }
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

/// Logs which upstream had not answered by the deadline of a request.
fn log_timeout(pool: &Pool, upstream: &Upstream, elapsed: Millis) {
    pool.shared.log_limiter.write(|| {
        slog::info!(pool.shared.log, "attempt timed out"; "upstream" => &upstream.id,
            "address" => %upstream.address, "elapsed_ms" => elapsed.0);
    });
}

/// Logs which upstream failed the request, by the request's identifier.
fn log_failed_attempt(slot: &Slot, pool: &Pool, call: &Call, failure: &Failure, elapsed: Millis) {
    let upstream = &slot.upstream;
    pool.shared.log_limiter.write(|| {
        slog::info!(pool.shared.log, "attempt failed"; "request_id" => call.message.id(),
            "upstream" => &upstream.id, "address" => %upstream.address,
            "fingerprint" => call.fingerprint, "reason" => failure.reason.name(), "ran" => ?failure.ran, "elapsed_ms" => elapsed.0,
            "busy" => upstream.busy(), "extra_tokens" => pool.hedges.tokens());
    });
}

/// Takes a connection for a request. A suspect gets a new one, and so does any request to an
/// upstream that was silent: an upstream that had ended before does not accept it, so that
/// its end is never taken for one by the request.
async fn check_out(
    slot: &Slot,
    pool: &Pool,
) -> std::result::Result<PooledConnection, CheckoutError> {
    let upstream = &slot.upstream;
    let is_suspect = slot.running.is_suspect && pool.shared.config.confirms_crashes;
    match is_suspect || upstream.silence.is_silent() {
        true => upstream.check_out_new(CONNECT_TIMEOUT).await,
        false => upstream.check_out().await,
    }
}

async fn exchange(
    slot: &Slot,
    pool: &Rc<Pool>,
    call: &Call,
    shard: &str,
    answered: &Answered,
) -> Result<Answer> {
    let upstream = &slot.upstream;
    let mut pooled = match check_out(slot, pool).await {
        Ok(pooled) => pooled,
        Err(CheckoutError::Limit) => return Err(Failure::not_run(Reason::Overloaded)),
        Err(CheckoutError::Refused | CheckoutError::Failed) => {
            record_refused(pool, upstream);
            return Err(Failure::not_run(Reason::NoReplica));
        }
    };
    if call.caller_left.get() {
        return Err(Failure::not_run(Reason::CallerLeft));
    }
    // It may have been quarantined while it waited for its slot and connection.
    let shared = &pool.shared;
    shared
        .check_quarantine(call.fingerprint, call.deadline)
        .await?;
    // It may have left meanwhile.
    if !pool.is_available(slot.key) {
        return Err(Failure::not_run(Reason::NoReplica));
    }
    // No wait may follow before the request is sent.
    if !call.permission.is_valid() {
        return Err(Failure::not_run(Reason::Revoked));
    }
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
    if shared.rate_limits.count(&upstream.process) {
        metrics::counter!(names::LIMITED_SENDS_TOTAL).increment(1);
    }
    let sent = SentRequest {
        fingerprint: call.fingerprint,
        shard: shard.into(),
        is_suspect: slot.running.is_suspect,
        sent_at: started,
        answered: answered.clone(),
    };
    let mut attempt = Attempt {
        pool,
        upstream,
        call,
        started,
        is_finished: false,
        sent: SentGuard::new(upstream, sent),
    };
    call.may_have_run.set(true);
    call.attempts.borrow_mut().add(shard);
    let sending = pooled
        .conn
        .send_within(request, ANSWER_LIMIT_BYTES, &shared.answer_memory);
    let sent = sending.await;
    attempt.is_finished = true;
    let response = match sent {
        Ok(response) => response,
        Err(e) if e.is_unsent() => {
            // The upstream had closed the idle connection.
            call.attempts.borrow_mut().remove(shard);
            return Err(Failure::not_run(Reason::NoReplica));
        }
        Err(e) if e.is_unusable() => return Err(record_unusable(pool, upstream, &e)),
        Err(_) => {
            attempt.list_unanswered();
            // The lost connection no longer counts towards the limit.
            drop(pooled);
            return Err(record_lost_connection(pool, upstream).await);
        }
    };
    shared.links.record_answer(Millis::now());
    let reply = call.message.read(&recipient, response);
    if matches!(&reply.result, Err(f) if f.reason == Reason::Mismatch) {
        metrics::counter!(names::MISMATCHES_TOTAL).increment(1);
        upstream.health.borrow_mut().record_failure(Millis::now());
        return reply.result;
    }
    if reply.is_identified {
        upstream.keep(pooled, reply.report.idle_timeout);
    }
    record_report(pool, upstream, reply.report, started);
    record_outcome(pool, slot, call, shard, &reply.result, started);
    reply.result
}
