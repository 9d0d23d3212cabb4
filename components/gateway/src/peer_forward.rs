//! Hands requests to other gateways: all while this one reaches no upstream, and searches
//! to those with larger processors.

mod delegate;
mod message;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use discovery::{InstanceEntry, SharedDirectory};
use http::{Response, StatusCode};
use rand::seq::IndexedRandom;
use routes::Delivery;
use telemetry::names;
use transport::{Client, ResponseMemory};
use upstreams::{AttemptsMade, Failure, Ran, Reason};

use self::message::{peer_request, take_outcome};
pub(crate) use self::message::{read_handover, refusal_outcome, unserved, with_outcome};
use crate::delegation::answer_time;
use crate::refusal::{Cause, Refusal, Result, promises_not_run};
use crate::routed_request::{RoutedRequest, caller_response, with_retry_after};

/// A gateway that did not take a request is passed over for so long.
const PEER_PAUSE: Millis = Millis(1_000);
/// Time to connect to a gateway, also in another region.
const CONNECT_TIMEOUT: Millis = Millis(100);
/// A gateway has this many objectives of the route to answer a request that may be
/// repeated.
const OBJECTIVES: u64 = 2;
/// Time after which callers may come back if no gateway took their request.
const RETURN_TIME: Millis = Millis(500);
/// A daemon that has not followed its peers to a version within this time serves by its
/// own again: it may be unable to read that configuration.
const CATCH_UP_TIME: Millis = Millis(10_000);
const IDLE_CONNECTIONS: usize = 16;
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Why a gateway is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pause {
    /// It takes no requests.
    Refused,
    /// It did not answer; it is tried again if there is no other one.
    Failed,
}

/// How a request is handed over.
struct Terms {
    /// The attempts that the gateway has to count.
    attempts: AttemptsMade,
    /// Time for its answer.
    timeout: Millis,
    /// A gateway that does not take the request is passed over for so long.
    refusal_pause: Millis,
    /// One that can't be reached or does not answer is passed over for so long.
    failure_pause: Millis,
}

/// Hands requests to other gateways.
pub(crate) struct PeerForwarder {
    directory: SharedDirectory,
    own: InstanceEntry,
    answer_memory: Rc<ResponseMemory>,
    /// Time that this daemon needs to pass an answer on.
    answer_time: Millis,
    /// Gateways that searches are handed to.
    delegates: RefCell<Vec<SocketAddr>>,
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    paused: RefCell<HashMap<SocketAddr, (Pause, Millis)>>,
    has_failed: Cell<bool>,
    /// Newest version that has served a request of this daemon's callers elsewhere, and
    /// when it first did.
    newest: Cell<(u64, Millis)>,
}

impl PeerForwarder {
    pub(crate) fn new(
        directory: SharedDirectory,
        own: InstanceEntry,
        answer_memory: Rc<ResponseMemory>,
    ) -> Self {
        Self {
            directory,
            answer_memory,
            answer_time: answer_time(own.millicores),
            own,
            delegates: RefCell::default(),
            clients: RefCell::default(),
            paused: RefCell::default(),
            has_failed: Cell::new(false),
            newest: Cell::new((0, Millis::ZERO)),
        }
    }

    /// Whether no gateway took the last request.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_failed.get()
    }

    /// Whether another daemon has served callers of this one by a newer version of the
    /// configuration lately: an older one would undo what they have seen.
    pub(crate) fn is_ahead_of(&self, version: u64) -> bool {
        let (newest, since) = self.newest.get();
        newest > version && Millis::now().since(since) < CATCH_UP_TIME
    }

    fn record_version(&self, version: u64) {
        if version > self.newest.get().0 {
            self.newest.set((version, Millis::now()));
        }
    }

    /// Hands a request to one gateway after the other until one takes it. A request
    /// that must not be repeated goes to another one only if the last did not take it.
    pub(crate) async fn forward(&self, request: &RoutedRequest) -> Result<Response<Bytes>> {
        let may_have_run = &request.call.may_have_run;
        let mut tried = Vec::new();
        while let Some(peer) = self.choose(&tried) {
            if attempts_left(request) == 0 {
                break;
            }
            tried.push(peer);
            let terms = terms_of_links(request);
            if let Some(result) = self.hand_over(peer, request, &terms).await {
                return result;
            }
            let has_time = Millis::now() < request.call.deadline;
            let is_wanted = has_time && !request.call.caller_left.get();
            if !is_wanted || (may_have_run.get() && is_once(request)) {
                break;
            }
        }
        self.has_failed.set(self.choose(&tried).is_none());
        let ran = match may_have_run.get() {
            true => Ran::Unknown,
            false => Ran::No,
        };
        Err(no_links(request, ran, tried.len()))
    }

    /// Hands a request to one gateway; `None` if that did not take or not answer it. A
    /// request may have run from the moment at which it is sent, unless it is known that
    /// the gateway did not take it.
    async fn hand_over(
        &self,
        peer: SocketAddr,
        request: &RoutedRequest,
        terms: &Terms,
    ) -> Option<Result<Response<Bytes>>> {
        let may_have_run = &request.call.may_have_run;
        // The key may have been withdrawn while the request waited.
        if !request.call.permission.is_valid() {
            return Some(Err(revoked(may_have_run.get())));
        }
        let before = may_have_run.replace(true);
        let mut response = match self.send(peer, request, terms).await {
            Ok(response) => response,
            Err(e) => {
                if e.is_unsent() {
                    may_have_run.set(before);
                    self.pass_over(peer, Pause::Refused, terms.failure_pause);
                } else {
                    self.record_failure(peer, request, terms);
                }
                return None;
            }
        };
        let outcome = take_outcome(&mut response);
        if outcome.is_unserved {
            may_have_run.set(before);
            self.pass_over(peer, Pause::Refused, terms.refusal_pause);
            return None;
        }
        self.has_failed.set(false);
        self.record_version(outcome.version);
        count("answered");
        if outcome.is_not_run {
            may_have_run.set(before);
        }
        let has_promise = promises_not_run(response.status()) && is_once(request);
        Some(match response.status() {
            status if before && is_refusal(status, request) => Err(false_promise(peer, status)),
            // Older gateways pass on what an upstream answers.
            status if has_promise && !outcome.is_not_run => Err(false_promise(peer, status)),
            _ => Ok(caller_response(response)),
        })
    }

    /// Records that a gateway did not answer a request: it may have made all attempts that
    /// it was allowed.
    fn record_failure(&self, peer: SocketAddr, request: &RoutedRequest, terms: &Terms) {
        let limit = request.call.policy.attempts;
        let allowed = limit.saturating_sub(terms.attempts.elsewhere);
        request.call.attempts.borrow_mut().elsewhere += allowed;
        self.pass_over(peer, Pause::Failed, terms.failure_pause);
    }

    /// Chooses a gateway among those that did not fail lately.
    fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Millis::now();
        let directory = self.directory.borrow();
        let peers = directory.instances().map(|i| i.address);
        let peers: Vec<SocketAddr> = peers
            .filter(|a| *a != self.own.address && !tried.contains(a))
            .collect();
        let mut paused = self.paused.borrow_mut();
        paused.retain(|_, (_, until)| *until > now);
        let pause = |a: &SocketAddr| paused.get(a).map(|(pause, _)| *pause);
        let select = |wanted: Option<Pause>| {
            let matching: Vec<&SocketAddr> = peers.iter().filter(|a| pause(a) == wanted).collect();
            matching.choose(&mut rand::rng()).map(|a| **a)
        };
        select(None).or_else(|| select(Some(Pause::Failed)))
    }

    fn pass_over(&self, peer: SocketAddr, pause: Pause, time: Millis) {
        count("failed");
        let until = Millis::now() + time;
        self.paused.borrow_mut().insert(peer, (pause, until));
    }

    async fn send(
        &self,
        peer: SocketAddr,
        request: &RoutedRequest,
        terms: &Terms,
    ) -> transport::Result<Response<Bytes>> {
        let now = Millis::now();
        let left = request.call.deadline.since(now);
        let client = self.client(peer);
        let version = request.version.max(self.newest.get().0);
        let elapsed = now.since(request.arrived) + self.answer_time;
        let message = peer_request(request, version, left, elapsed, &terms.attempts);
        let sending = client.send(message, RESPONSE_LIMIT_BYTES, terms.timeout);
        sending.await
    }

    fn client(&self, peer: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let create = || {
            let client = Client::with_idle_limit(peer, IDLE_CONNECTIONS);
            let client = client.with_connect_timeout(CONNECT_TIMEOUT);
            Rc::new(client.with_memory(&self.answer_memory))
        };
        clients.entry(peer).or_insert_with(create).clone()
    }
}

fn count(outcome: &'static str) {
    metrics::counter!(names::PEER_FORWARDS_TOTAL, "outcome" => outcome).increment(1);
}

/// Returns the refusal of a request whose key was withdrawn before it was handed over.
fn revoked(may_have_run: bool) -> Refusal {
    let failure = match may_have_run {
        true => Failure::unknown(Reason::Revoked),
        false => Failure::not_run(Reason::Revoked),
    };
    Refusal::from_failure(&failure)
}

/// Whether the answer of another gateway says that the request did not run there.
fn is_refusal(status: StatusCode, request: &RoutedRequest) -> bool {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => true,
        StatusCode::UNAUTHORIZED => request.call.workspace.is_some(),
        _ => false,
    }
}

fn no_links(request: &RoutedRequest, ran: Ran, tried: usize) -> Refusal {
    let detail = format!("this daemon reaches no upstream, and none of {tried} others took it");
    let refusal = Refusal {
        ran,
        ..Refusal::not_run(Cause::NoLinks, detail)
    };
    match ran {
        Ran::No => with_retry_after(refusal, RETURN_TIME, request.call.deadline),
        Ran::Yes | Ran::Unknown => refusal,
    }
}

/// Returns the refusal of a request that another gateway answered as not run, though it may
/// have run.
fn false_promise(peer: SocketAddr, status: StatusCode) -> Refusal {
    let detail = format!("{peer} refused the request with {status}, but it may have run");
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(Cause::NoLinks, detail)
    }
}

/// Whether a request must not be repeated.
fn is_once(request: &RoutedRequest) -> bool {
    request.entry.route.delivery == Delivery::AtMostOnce
}

/// Returns how many attempts may still be made on the shard with the fewest.
fn attempts_left(request: &RoutedRequest) -> usize {
    let made = request.call.attempts.borrow().fewest();
    request.call.policy.attempts.saturating_sub(made)
}

/// Returns the terms on which a request is handed over because the links are lost: a
/// gateway that does not answer one that may be repeated soon leaves time for another.
fn terms_of_links(request: &RoutedRequest) -> Terms {
    let left = request.call.deadline.since(Millis::now());
    let route = &request.entry.route;
    Terms {
        attempts: attempts_for_peer(request),
        timeout: match route.delivery {
            Delivery::Idempotent => left.min(Millis(route.objective.0 * OBJECTIVES)),
            Delivery::AtMostOnce => left,
        },
        refusal_pause: PEER_PAUSE,
        failure_pause: PEER_PAUSE,
    }
}

/// Returns the attempts that a gateway has to count: those that were made, and one more if
/// at least one is then left to it, which another gateway may need if this one does not answer.
fn attempts_for_peer(request: &RoutedRequest) -> AttemptsMade {
    let mut attempts = request.call.attempts.borrow().compact();
    attempts.elsewhere += usize::from(attempts_left(request) > 1);
    attempts
}
