//! Upstreams that fall silent: they leave requests unanswered and accept no connection, or
//! lose connections under requests, while this daemon reaches others.
//!
//! Silence alone says little: an upstream may be cut off, or have lost its power for a reason
//! of its own. Its requests become suspects, and nothing else is sent there for a while. Only
//! when another process is seen at its address has it ended, and the requests that it had
//! not answered count as the likely cause.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use clock::Millis;
use telemetry::names;

use crate::attempt::record_refused;
use crate::call::HEDGE_QUANTILE;
use crate::crash_check::{check_crash, reaches_others, record_crashes};
use crate::crashes::Suspicion;
use crate::link_check::{Connecting, try_connect};
use crate::pool::Pool;
use crate::sent::SentRequest;
use crate::shared::Shared;
use crate::upstream::Upstream;

/// Requests that wait for less are no reason to look after their upstream.
const LEAST_PATIENCE: Millis = Millis(400);
/// Nor are those that wait for less than this many times the latency of nearly all.
const PATIENCE_FACTOR: u64 = 3;
/// A silent upstream accepts no connection within this time.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Another process must be seen at the address of a silent upstream within this time.
const MEMORY: Millis = Millis(30_000);
/// The same of one that lost connections and accepts others: most such upstreams have not
/// ended, and may be replaced for another reason later.
const RESTART_TIME: Millis = Millis(1_000);
/// Silent upstreams that are remembered; the oldest gives way.
const LIMIT: usize = 256;

/// When one upstream was heard of last, and whether it is silent.
#[derive(Debug, Default)]
pub(crate) struct Silence {
    answered_at: Cell<Millis>,
    accepted_at: Cell<Millis>,
    /// Time at which it was found silent.
    found_at: Cell<Millis>,
    is_checked: Cell<bool>,
}

impl Silence {
    /// Records that the upstream has answered a request.
    pub(crate) fn record_answer(&self, now: Millis) {
        self.answered_at.set(now);
    }

    /// Whether the upstream was found silent and has answered nothing since.
    pub(crate) fn is_silent(&self) -> bool {
        self.found_at.get() > self.answered_at.get()
    }

    /// Returns when there was last a reason not to look after the upstream.
    fn quiet_since(&self) -> Millis {
        let heard = self.answered_at.get().max(self.accepted_at.get());
        heard.max(self.found_at.get())
    }
}

/// An upstream that may have ended.
struct Silent {
    upstream: Rc<Upstream>,
    /// Its requests from before may be the cause.
    since: Millis,
    /// Time within which another process must be seen.
    within: Millis,
}

impl Silent {
    /// Returns the requests that it had not answered, unless it went on with others.
    fn requests(&self) -> Vec<SentRequest> {
        let upstream = &self.upstream;
        if self.is_over(Millis::now()) || upstream.silence.answered_at.get() > self.since {
            return Vec::new();
        }
        let mut requests = pending(upstream);
        requests.extend(upstream.unanswered.all());
        requests.retain(|r| r.sent_at <= self.since);
        requests
    }

    fn is_over(&self, now: Millis) -> bool {
        now.since(self.since) > self.within
    }
}

/// The upstreams of a daemon that fell silent lately.
#[derive(Default)]
pub(crate) struct SilentUpstreams(RefCell<Vec<Silent>>);

impl SilentUpstreams {
    /// Adds an upstream, or one that was heard of meanwhile again.
    fn add(&self, upstream: &Rc<Upstream>, since: Millis, within: Millis) {
        let mut all = self.0.borrow_mut();
        let is_known = |s: &Silent| {
            Rc::ptr_eq(&s.upstream, upstream) && upstream.silence.answered_at.get() <= s.since
        };
        if all.iter().any(is_known) {
            return;
        }
        all.retain(|s| !Rc::ptr_eq(&s.upstream, upstream));
        if all.len() >= LIMIT {
            all.remove(0);
        }
        all.push(Silent {
            upstream: upstream.clone(),
            since,
            within,
        });
    }

    /// Removes those that can't be found to have ended any more.
    fn forget(&self, now: Millis) {
        self.0.borrow_mut().retain(|s| !s.is_over(now));
    }

    /// Records that a request was answered for a shard: it ends no upstream.
    pub(crate) fn record_success(&self, fingerprint: u64, shard: &str) {
        for silent in self.0.borrow().iter() {
            let upstream = &silent.upstream;
            let sent = upstream.sent.borrow();
            let same = sent.values().filter(|r| r.is(fingerprint, shard));
            same.for_each(|r| r.answered.set());
            upstream.unanswered.record_success(fingerprint, shard);
        }
    }

    /// Removes the upstreams at the address of another one.
    fn take_at(&self, address: SocketAddr) -> Vec<Silent> {
        let mut all = self.0.borrow_mut();
        all.extract_if(.., |s| s.upstream.address == address)
            .collect()
    }
}

/// Returns the requests that an upstream runs and that no other one has answered.
fn pending(upstream: &Upstream) -> Vec<SentRequest> {
    let sent = upstream.sent.borrow();
    let pending = sent.values().filter(|r| !r.answered.is_set());
    pending.cloned().collect()
}

impl Pool {
    /// Starts to check the upstreams that have left requests unanswered for long; to be called
    /// again and again.
    pub fn check_silent(self: &Rc<Self>) {
        let now = Millis::now();
        self.shared.silent.forget(now);
        let mut quiet = self.upstreams();
        quiet.retain(|u| is_quiet(u, LEAST_PATIENCE, now));
        if quiet.is_empty() {
            return;
        }
        let patience = self.patience();
        for upstream in quiet {
            let is_quiet = is_quiet(&upstream, patience, now);
            if is_quiet && !upstream.silence.is_checked.replace(true) {
                compio::runtime::spawn(check(self.clone(), upstream)).detach();
            }
        }
    }

    /// Returns for how long a request may wait for its answer.
    fn patience(&self) -> Millis {
        let usual = self.latency.borrow().quantile(HEDGE_QUANTILE);
        let usual = usual.unwrap_or_default();
        LEAST_PATIENCE.max(Millis(usual.0 * PATIENCE_FACTOR))
    }
}

/// Whether a request has waited for long while nothing was heard of its upstream.
fn is_quiet(upstream: &Upstream, patience: Millis, now: Millis) -> bool {
    let heard = upstream.silence.quiet_since();
    if now.since(heard) <= patience {
        return false;
    }
    let sent_by = now - patience;
    let sent = upstream.sent.borrow();
    sent.values().any(|r| r.is_pending_since(sent_by))
        || upstream.unanswered.has_running_since(sent_by, now)
}

/// Checks whether an upstream accepts connections.
async fn check(pool: Rc<Pool>, upstream: Rc<Upstream>) {
    let began = Millis::now();
    match try_connect(&upstream, CONNECT_TIMEOUT).await {
        Connecting::Accepted => {
            upstream.silence.accepted_at.set(Millis::now());
            upstream.unanswered.outlive(began);
        }
        // It has ended, though its connections are open.
        Connecting::Refused => check_crash(&pool, &upstream).await,
        Connecting::TimedOut if reaches_others(&pool, &upstream, began).await => {
            record_silence(&pool, &upstream, began);
        }
        Connecting::TimedOut | Connecting::Failed => {}
    }
    upstream.silence.is_checked.set(false);
}

/// Records that an upstream is silent; the end of one that is leaving was expected.
fn record_silence(pool: &Pool, upstream: &Rc<Upstream>, since: Millis) {
    let (shared, now) = (&pool.shared, Millis::now());
    if upstream.silence.answered_at.get() > since {
        return;
    }
    upstream.silence.found_at.set(now);
    record_refused(pool, upstream);
    metrics::counter!(names::SILENT_UPSTREAMS_TOTAL).increment(1);
    let requests = match pool.expects_end(upstream) {
        true => Vec::new(),
        false => {
            shared.record_possible_end(upstream, since, MEMORY);
            let mut requests = pending(upstream);
            requests.extend(upstream.unanswered.running(now));
            requests
        }
    };
    shared.log_limiter.write(|| {
        slog::info!(shared.log, "upstream is silent"; "upstream" => &upstream.id,
            "address" => %upstream.address, "requests" => requests.len());
    });
    let suspect = |request: &SentRequest| {
        let suspicion = Suspicion {
            fingerprint: request.fingerprint,
            shard: request.shard.to_string(),
            domain: upstream.domain.clone(),
        };
        shared.crashes.suspect(suspicion, now)
    };
    let new = requests.iter().filter(|r| suspect(r)).count();
    if new > 0 {
        shared.notify_peers();
    }
}

impl Shared {
    /// Records that an upstream has lost connections under requests, at `since` or before, and
    /// accepts others: it may have ended and started again at once.
    pub(crate) fn record_reconnection(&self, upstream: &Rc<Upstream>, since: Millis) {
        self.record_possible_end(upstream, since, RESTART_TIME);
    }

    /// Records that an upstream may have ended, at `since` or before.
    fn record_possible_end(&self, upstream: &Rc<Upstream>, since: Millis, within: Millis) {
        self.silent.add(upstream, since, within);
        if self.upstreams.has_successor(upstream) {
            self.record_replaced(upstream);
        }
    }

    /// Records that an upstream has appeared: the silent ones that were at its address have
    /// ended, unless it is the same process.
    pub(crate) fn record_start(&self, upstream: &Upstream) {
        for silent in self.silent.take_at(upstream.address) {
            if silent.upstream.process != upstream.process {
                self.record_end(&silent);
            }
        }
    }

    /// Records that another process answers at the address of an upstream.
    pub(crate) fn record_replaced(&self, upstream: &Upstream) {
        for silent in self.silent.take_at(upstream.address) {
            if silent.upstream.process == upstream.process {
                self.record_end(&silent);
            }
        }
    }

    fn record_end(&self, silent: &Silent) {
        let (upstream, requests) = (&silent.upstream, silent.requests());
        // One that has reported since that it leaves was only cut off from this daemon.
        let is_leaving = upstream.is_drained.get() || self.drains.is_leaving(&upstream.process);
        if requests.is_empty() || is_leaving {
            return;
        }
        slog::info!(self.log, "silent upstream has ended"; "upstream" => &upstream.id,
            "requests" => requests.len(), "after_ms" => Millis::now().since(silent.since).0);
        upstream.close_idle();
        record_crashes(self, upstream, &requests, Millis::now());
    }
}
