//! Checks whether an upstream ended when a connection to it was lost under a
//! request: one that ended refuses new connections, one that only dropped a
//! connection accepts them. The connection that the check opens is kept for the
//! next request.

use std::rc::Rc;

use clock::Millis;
use futures_channel::oneshot;
use telemetry::names;

use crate::crashes::{CRASH_TTL, Crash};
use crate::link_check::{Connecting, LinkCheck, connect_idle};
use crate::pool::Pool;
use crate::sent::SentRequest;
use crate::shared::Shared;
use crate::upstream::Upstream;

/// An upstream that accepts no connection for so long has ended.
const CONNECT_TIMEOUT: Millis = Millis(1_000);
/// A failed request waits this long for the result, so that it is not sent on
/// before it is known as a suspect.
const RESULT_WAIT: Millis = Millis(25);
/// A process that ends may accept one more connection and close it soon after.
const SECOND_LOOK_DELAY: Millis = Millis(50);

/// A check that runs.
#[derive(Default)]
pub(crate) struct CrashCheck {
    /// The requests that ran when connections were lost.
    requests: Vec<SentRequest>,
    waiters: Vec<oneshot::Sender<()>>,
}

impl CrashCheck {
    fn add<'a>(&mut self, requests: impl Iterator<Item = &'a SentRequest>) {
        for request in requests {
            if !self.requests.contains(request) {
                self.requests.push(request.clone());
            }
        }
    }
}

/// Checks whether an upstream crashed during the requests that are listed there, and
/// records crashes under them if it did. Returns with the result or after
/// [`RESULT_WAIT`].
pub(crate) async fn check_crash(pool: &Rc<Pool>, upstream: &Rc<Upstream>) {
    let (sender, result) = oneshot::channel();
    let is_first = upstream.check.borrow().is_none();
    {
        let mut check = upstream.check.borrow_mut();
        let check = check.get_or_insert_default();
        check.add(upstream.sent.borrow().values());
        check.add(upstream.unanswered.abandoned(Millis::now()).iter());
        check.waiters.push(sender);
    }
    if is_first {
        compio::runtime::spawn(run(pool.clone(), upstream.clone())).detach();
    }
    let _ = compio::time::timeout(RESULT_WAIT.into(), result).await;
}

async fn run(pool: Rc<Pool>, upstream: Rc<Upstream>) {
    let began = Millis::now();
    let expects_end = pool.expects_end(&upstream);
    let first = connect_idle(&upstream, CONNECT_TIMEOUT).await;
    let outcome = match first {
        Connecting::Accepted => look_again(&upstream).await,
        _ => first,
    };
    let has_crashed = outcome.is_unreachable() && reaches_others(&pool, &upstream, began).await;
    let check = upstream.check.borrow_mut().take().unwrap_or_default();
    slog::debug!(pool.shared.log, "checked whether an upstream ended"; "upstream" => &upstream.id,
        "ended" => has_crashed, "requests" => check.requests.len());
    match outcome {
        _ if has_crashed => {
            upstream.close_idle();
            record_crashes(&pool.shared, &upstream, &check.requests, Millis::now());
        }
        // It may have ended and started again at once.
        Connecting::Accepted if !expects_end => {
            pool.shared.record_reconnection(&upstream, began);
        }
        _ => {}
    }
}

/// Looks again whether an upstream accepts connections that has just accepted one.
async fn look_again(upstream: &Upstream) -> Connecting {
    // Wakes the waiters: most upstreams that accept a connection have not ended.
    if let Some(check) = upstream.check.borrow_mut().as_mut() {
        check.waiters.clear();
    }
    compio::time::sleep(SECOND_LOOK_DELAY.into()).await;
    match upstream.has_open_idle() {
        true => Connecting::Accepted,
        false => connect_idle(upstream, CONNECT_TIMEOUT).await,
    }
}

/// Whether this daemon reaches other upstreams, or knows none. If it does not reach them,
/// its own links are lost, and the upstream may serve others.
pub(crate) async fn reaches_others(pool: &Pool, upstream: &Rc<Upstream>, since: Millis) -> bool {
    let shared = &pool.shared;
    if shared.links.has_contact_since(since) {
        return true;
    }
    shared.check_links_without(Some(upstream)).await != LinkCheck::Unreachable
}

/// Records that an upstream crashed during requests.
pub(crate) fn record_crashes(
    shared: &Shared,
    upstream: &Upstream,
    requests: &[SentRequest],
    now: Millis,
) {
    if requests.is_empty() {
        return;
    }
    upstream.unanswered.clear();
    for request in requests {
        log_crash(shared, upstream, request, now);
        let crash = Crash {
            upstream: upstream.process.clone(),
            shard: request.shard.to_string(),
            domain: upstream.domain.clone(),
            alone: request.is_suspect,
            expires_at: now + CRASH_TTL,
        };
        if shared.crashes.record(request.fingerprint, crash, now) {
            slog::warn!(shared.log, "request quarantined"; "fingerprint" => request.fingerprint,
                "upstream" => &upstream.id);
        }
    }
    shared.notify_peers();
}

fn log_crash(shared: &Shared, upstream: &Upstream, request: &SentRequest, now: Millis) {
    metrics::counter!(names::CRASHES_TOTAL).increment(1);
    let known = shared.crashes.crash_domains(request.fingerprint, now);
    shared.log_limiter.write(|| {
        slog::warn!(shared.log, "upstream crashed during request"; "fingerprint" => request.fingerprint,
            "upstream" => &upstream.id, "shard" => &*request.shard, "alone" => request.is_suspect,
            "known_crashes" => known.len());
    });
}
