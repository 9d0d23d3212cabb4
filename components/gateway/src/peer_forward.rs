//! Hands requests to other gateways while this one reaches no upstream, and answers
//! those that other gateways hand over.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use discovery::SharedDirectory;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use rand::seq::IndexedRandom;
use routes::Delivery;
use telemetry::names;
use transport::{Client, Payload};
use upstreams::{AttemptsMade, Failure, Ran, Reason};

use crate::delegation::{answer_time, delegates};
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::{RoutedRequest, caller_response, with_retry_after};

/// Prefix of the path under which gateways accept requests of their peers; the path and
/// query of the caller follow.
const REQUESTS_PATH: &str = "/v1/requests";
/// Time that is left for the request, in milliseconds.
const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-time-left-ms");
/// In a request the lowest version of the configuration that may serve it, in its response
/// the version that did.
const VERSION_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-version");
/// Time that the request has spent before and that its answer needs on the way back, in
/// milliseconds; older daemons send none.
const ELAPSED_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-elapsed-ms");
/// The attempts that may have been made for the request, as JSON.
const ATTEMPTS_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-attempts");
/// Present if a gateway did not take the request; says why.
const UNSERVED_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-unserved");
/// A gateway that did not take a request is passed over for so long.
const PEER_PAUSE: Millis = Millis(1_000);
/// A gateway that searches are handed to is passed over for so long if it did not answer:
/// each search that it is tried with is at risk.
const DELEGATE_PAUSE: Millis = Millis(5_000);
/// Time to connect to a gateway.
const CONNECT_TIMEOUT: Millis = Millis(50);
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

/// Hands requests to other gateways.
pub(crate) struct PeerForwarder {
    directory: SharedDirectory,
    me: SocketAddr,
    /// Time that this daemon needs to pass an answer on.
    answer_time: Millis,
    clients: RefCell<HashMap<SocketAddr, Rc<Client>>>,
    paused: RefCell<HashMap<SocketAddr, (Pause, Millis)>>,
    has_failed: Cell<bool>,
    /// Newest version that has served a request of this daemon's callers elsewhere, and
    /// when it first did.
    newest: Cell<(u64, Millis)>,
}

impl PeerForwarder {
    pub(crate) fn new(directory: SharedDirectory, me: SocketAddr, millicores: u32) -> Self {
        Self {
            directory,
            me,
            answer_time: answer_time(millicores),
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

    /// Hands a search to a gateway with a larger processor; `None` if there is none, or if
    /// it did not take the search or did not answer. All attempts go with it: the caller
    /// waits for one gateway, which needs them for hedges.
    pub(crate) async fn delegate(
        &self,
        request: &RoutedRequest,
    ) -> Option<Result<Response<Bytes>>> {
        let peer = self.choose_delegate()?;
        let attempts = request.call.attempts.borrow().compact();
        let result = self
            .hand_over(peer, request, attempts, DELEGATE_PAUSE)
            .await;
        let is_final = attempts_left(request) == 0 || Millis::now() >= request.call.deadline;
        match result {
            None if is_final => Some(Err(unanswered(peer))),
            result => result,
        }
    }

    fn choose_delegate(&self) -> Option<SocketAddr> {
        let now = Millis::now();
        let mut paused = self.paused.borrow_mut();
        paused.retain(|_, (_, until)| *until > now);
        let mut delegates = delegates(self.directory.borrow().instances(), self.me);
        delegates.retain(|address| !paused.contains_key(address));
        delegates.choose(&mut rand::rng()).copied()
    }

    fn record_version(&self, response: &Response<Bytes>) {
        let version = header_number(response.headers(), &VERSION_HEADER).unwrap_or(0);
        if version > self.newest.get().0 {
            self.newest.set((version, Millis::now()));
        }
    }

    /// Hands a request to one gateway after the other until one takes it. A request
    /// that must not be repeated goes to another one only if the last did not take it.
    pub(crate) async fn forward(&self, request: &RoutedRequest) -> Result<Response<Bytes>> {
        let is_repeatable = request.entry.route.delivery == Delivery::Idempotent;
        let may_have_run = &request.call.may_have_run;
        let mut tried = Vec::new();
        while let Some(peer) = self.choose(&tried) {
            if attempts_left(request) == 0 {
                break;
            }
            if !request.call.permission.is_valid() {
                return Err(revoked(may_have_run.get()));
            }
            tried.push(peer);
            let attempts = attempts_for_peer(request);
            let result = self.hand_over(peer, request, attempts, PEER_PAUSE).await;
            if let Some(result) = result {
                return result;
            }
            let has_time = Millis::now() < request.call.deadline;
            let is_wanted = has_time && !request.call.caller_left.get();
            if !is_wanted || (may_have_run.get() && !is_repeatable) {
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
        attempts: AttemptsMade,
        failure_pause: Millis,
    ) -> Option<Result<Response<Bytes>>> {
        let may_have_run = &request.call.may_have_run;
        let before = may_have_run.replace(true);
        let (pause, time) = match self.send(peer, request, &attempts).await {
            Ok(response) if !response.headers().contains_key(UNSERVED_HEADER) => {
                self.has_failed.set(false);
                self.record_version(&response);
                count("answered");
                return Some(match response.status() {
                    status if before && is_refusal(status, request) => Err(refused_elsewhere(peer)),
                    _ => Ok(without_version(caller_response(response))),
                });
            }
            Err(e) if !e.is_unsent() => {
                let limit = request.call.policy.attempts;
                let allowed = limit.saturating_sub(attempts.elsewhere);
                request.call.attempts.borrow_mut().elsewhere += allowed;
                (Pause::Failed, failure_pause)
            }
            Err(_) => {
                may_have_run.set(before);
                (Pause::Refused, failure_pause)
            }
            Ok(_) => {
                may_have_run.set(before);
                (Pause::Refused, PEER_PAUSE)
            }
        };
        count("failed");
        self.pause(peer, pause, time);
        None
    }

    /// Chooses a gateway among those that did not fail lately.
    fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Millis::now();
        let directory = self.directory.borrow();
        let peers = directory.instances().map(|i| i.address);
        let peers: Vec<SocketAddr> = peers
            .filter(|a| *a != self.me && !tried.contains(a))
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

    fn pause(&self, peer: SocketAddr, pause: Pause, time: Millis) {
        let until = Millis::now() + time;
        self.paused.borrow_mut().insert(peer, (pause, until));
    }

    async fn send(
        &self,
        peer: SocketAddr,
        request: &RoutedRequest,
        attempts: &AttemptsMade,
    ) -> transport::Result<Response<Bytes>> {
        let left = request.call.deadline.since(Millis::now());
        let route = &request.entry.route;
        let timeout = match route.delivery {
            Delivery::Idempotent => left.min(Millis(route.objective.0 * OBJECTIVES)),
            Delivery::AtMostOnce => left,
        };
        let client = self.client(peer);
        let version = request.version.max(self.newest.get().0);
        let elapsed = Millis::now().since(request.arrived) + self.answer_time;
        let message = peer_request(request, version, left, elapsed, attempts);
        client.send(message, RESPONSE_LIMIT_BYTES, timeout).await
    }

    fn client(&self, peer: SocketAddr) -> Rc<Client> {
        let mut clients = self.clients.borrow_mut();
        let create = || {
            let client = Client::with_idle_limit(peer, IDLE_CONNECTIONS);
            Rc::new(client.with_connect_timeout(CONNECT_TIMEOUT))
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

/// Returns the refusal of a search that another gateway took and did not answer.
fn unanswered(peer: SocketAddr) -> Refusal {
    let detail = format!("{peer} took the search and did not answer");
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(Cause::NoLinks, detail)
    }
}

/// Returns the refusal of a request that another gateway refused as not run, though it may
/// have run before it was handed over.
fn refused_elsewhere(peer: SocketAddr) -> Refusal {
    let detail = format!("{peer} refused the request, which may have run before");
    Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(Cause::NoLinks, detail)
    }
}

/// Returns how many attempts may still be made on the shard with the fewest.
fn attempts_left(request: &RoutedRequest) -> usize {
    let made = request.call.attempts.borrow().fewest();
    request.call.policy.attempts.saturating_sub(made)
}

/// Returns the attempts that a gateway has to count: those that were made, and one more if
/// at least one is then left to it, which another gateway may need if this one does not answer.
fn attempts_for_peer(request: &RoutedRequest) -> AttemptsMade {
    let mut attempts = request.call.attempts.borrow().compact();
    attempts.elsewhere += usize::from(attempts_left(request) > 1);
    attempts
}

/// Returns the request for a gateway, with what it needs to serve it.
fn peer_request(
    request: &RoutedRequest,
    version: u64,
    left: Millis,
    elapsed: Millis,
    attempts: &AttemptsMade,
) -> Request<Payload> {
    let forwarded = &request.forwarded;
    let mut message = Request::new(Payload::new(forwarded.body.clone()));
    *message.method_mut() = forwarded.method.clone();
    let path = forwarded.uri.path_and_query().map_or("/", |p| p.as_str());
    if let Ok(uri) = format!("{REQUESTS_PATH}{path}").parse() {
        *message.uri_mut() = uri;
    }
    *message.headers_mut() = forwarded.headers.clone();
    let headers = message.headers_mut();
    request.identity.write_key_digest(headers);
    headers.insert(TIME_LEFT_HEADER, left.0.into());
    headers.insert(VERSION_HEADER, version.into());
    headers.insert(ELAPSED_HEADER, elapsed.0.into());
    // The caller's own header of this name says nothing.
    headers.remove(ATTEMPTS_HEADER);
    let attempts = serde_json::to_string(attempts).unwrap_or_default();
    if let Ok(attempts) = HeaderValue::from_bytes(attempts.as_bytes()) {
        headers.insert(ATTEMPTS_HEADER, attempts);
    }
    message
}

/// What a gateway says of a request that it hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Handover {
    /// Time that is left for the request.
    pub(crate) time_left: Millis,
    /// Time that it has spent before.
    pub(crate) elapsed: Millis,
    /// Lowest version of the configuration that may serve it.
    pub(crate) version: u64,
    /// The attempts that it and others may have made; `None` if they can't be read.
    pub(crate) attempts: Option<AttemptsMade>,
}

/// Restores a caller's request that another gateway handed over; `None` if it is no
/// such request.
pub(crate) fn read_handover<B>(request: &mut http::Request<B>) -> Option<Handover> {
    let path = request.uri().path_and_query()?.as_str();
    let uri: Uri = path.strip_prefix(REQUESTS_PATH)?.parse().ok()?;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    Some(Handover {
        time_left: Millis(take_number(headers, &TIME_LEFT_HEADER)?),
        elapsed: Millis(take_number(headers, &ELAPSED_HEADER).unwrap_or(0)),
        version: take_number(headers, &VERSION_HEADER)?,
        attempts: take_attempts(headers),
    })
}

fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    let number = header_number(headers, name);
    headers.remove(name);
    number
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Tells the gateway that handed a request over which version served it.
pub(crate) fn with_version<B>(mut response: Response<B>, version: u64) -> Response<B> {
    response
        .headers_mut()
        .insert(VERSION_HEADER, version.into());
    response
}

fn without_version(mut response: Response<Bytes>) -> Response<Bytes> {
    response.headers_mut().remove(VERSION_HEADER);
    response
}

/// Reads the attempts; gateways that do not count them send none.
fn take_attempts(headers: &mut HeaderMap) -> Option<AttemptsMade> {
    match headers.remove(&ATTEMPTS_HEADER) {
        Some(value) => serde_json::from_slice(value.as_bytes()).ok(),
        None => Some(AttemptsMade::default()),
    }
}

/// Returns the answer of a gateway that does not take a request.
pub(crate) fn unserved(reason: &'static str) -> Response<Bytes> {
    let builder = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    let builder = builder.header(UNSERVED_HEADER, reason);
    builder.body(Bytes::new()).unwrap_or_default()
}
