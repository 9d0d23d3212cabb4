//! A caller's request with its route, prepared for the upstreams.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use axum::body::Body;
use axum::extract::Request;
use bytes::Bytes;
use clock::Millis;
use http::header::{self, HeaderName};
use http::request::Parts;
use http::{HeaderMap, Response, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use routes::{Entry, Route, Table, Target};
use upstreams::{Answer, AttemptsMade, Call, RetryPolicy};
use xxhash_rust::xxh3::xxh3_64;

use crate::identity::Identity;
use crate::refusal::{Cause, Refusal, Result};
use crate::retry_after::retry_after;
use crate::state::Gateway;
use crate::wire::{ForwardedRequest, Purpose, RequestContext};

/// Time reserved for sending the response to the caller.
const ANSWER_MARGIN: Millis = Millis(10);
/// A request waits for the rate limits of upstreams for this part of its objective.
const RATE_WAIT_DIVISOR: u64 = 2;
/// Share of the retry budget's ratio that is used.
const BUDGET_RATIO_SHARE: f64 = 0.9;
/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
    header::CONTENT_LENGTH,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// The route and the context of a request whose body is not read yet.
pub(crate) struct ResolvedRoute {
    pub(crate) table: Rc<Table>,
    pub(crate) entry: Rc<Entry>,
    pub(crate) origin: Origin,
    pub(crate) identity: Identity,
    pub(crate) context: RequestContext,
    pub(crate) arrived: Millis,
    /// Time by which the answer must have arrived.
    pub(crate) deadline: Millis,
    /// Whether an upstream may have run the request.
    pub(crate) may_have_run: Rc<Cell<bool>>,
    /// The attempts that were made before the request came here.
    pub(crate) attempts: AttemptsMade,
}

/// Who sent a request to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which reaches no upstream itself.
    Peer,
}

/// A complete request with its route.
pub(crate) struct RoutedRequest {
    pub(crate) entry: Rc<Entry>,
    pub(crate) origin: Origin,
    pub(crate) identity: Identity,
    /// Version of the configuration with which the request is served.
    pub(crate) version: u64,
    pub(crate) arrived: Millis,
    pub(crate) call: Call,
    pub(crate) forwarded: Rc<ForwardedRequest>,
}

/// Reads the body of a request and prepares it for the upstreams.
pub(crate) async fn read_request(
    gateway: &Gateway,
    resolved: ResolvedRoute,
    request: Request,
) -> Result<RoutedRequest> {
    let ResolvedRoute {
        table,
        entry,
        origin,
        identity,
        context,
        arrived,
        deadline,
        may_have_run,
        attempts,
    } = resolved;
    let (head, body) = request.into_parts();
    let workspace = identity.workspace().map(|w| w.name.clone());
    let body = read_body(body, table.limits.body_bytes, deadline).await?;
    let route = &entry.route;
    let deadline = deadline_before_exit(gateway, route, deadline)?;
    let fingerprint = fingerprint(&head, workspace.as_deref(), &body);
    let mut forwarded = forwarded_request(context.id, head, body, &route.target);
    if table.requires_keys() {
        // After the headers that the caller lists in `Connection` were removed.
        let name = workspace.as_deref();
        gateway.wire.set_workspace(&mut forwarded.headers, name);
    }
    let forwarded = Rc::new(forwarded);
    let call = Call {
        message: gateway.wire.message(forwarded.clone()),
        version: None,
        fingerprint,
        priority: priority(&identity, route),
        deadline,
        rate_by: arrived + Millis(route.objective.0 / RATE_WAIT_DIVISOR),
        draw: rand::random(),
        caller_left: Rc::default(),
        may_have_run,
        permission: identity.permission(&gateway.fleet, &table),
        workspace,
        attempts: Rc::new(RefCell::new(attempts)),
        policy: retry_policy(gateway, route),
    };
    Ok(RoutedRequest {
        entry,
        origin,
        identity,
        version: table.version,
        arrived,
        call,
        forwarded,
    })
}

/// Returns the rank of a request; a workspace's goes before its route's.
fn priority(identity: &Identity, route: &Route) -> u8 {
    let own = identity.workspace().and_then(|w| w.priority);
    own.unwrap_or(route.priority)
}

fn forwarded_request(id: String, head: Parts, body: Bytes, target: &Target) -> ForwardedRequest {
    ForwardedRequest {
        id,
        method: head.method,
        uri: origin_form(&head.uri),
        headers: remove_hop_by_hop(head.headers),
        body,
        purpose: match target {
            Target::Gather(_) => Purpose::Part,
            Target::Service(_) | Target::Split(_) => Purpose::Whole,
        },
        error_response: RefCell::default(),
    }
}

/// Returns the time by which a request of a route must be answered.
pub(crate) fn deadline(route: &Route, context: &RequestContext, arrived: Millis) -> Millis {
    let timeout = context.timeout.unwrap_or(route.timeout);
    arrived + (timeout.min(route.timeout) - ANSWER_MARGIN)
}

/// Returns the deadline of a request, which is earlier if this daemon exits
/// before it, or a refusal if too little time is left before the exit.
fn deadline_before_exit(gateway: &Gateway, route: &Route, deadline: Millis) -> Result<Millis> {
    let Some(schedule) = gateway.shutdown.get() else {
        return Ok(deadline);
    };
    let now = Millis::now();
    let bounded = schedule.deadline(now, route.delivery, route.objective, deadline);
    bounded.ok_or_else(|| {
        let detail = "the request may need more time than is left before the exit";
        let refusal = Refusal::not_run(Cause::ShuttingDown, detail);
        with_retry_after(refusal, Millis::ZERO, deadline)
    })
}

async fn read_body(body: Body, limit: usize, deadline: Millis) -> Result<Bytes> {
    let time_left = deadline.since(Millis::now());
    let reading = Limited::new(body, limit).collect();
    let Ok(read) = compio::time::timeout(time_left.into(), reading).await else {
        let detail = "the body did not arrive before the deadline";
        return Err(Refusal::not_run(Cause::Timeout, detail));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Refusal::not_run(
            Cause::BodyTooLarge,
            format!("the body is larger than {limit} bytes"),
        )),
        Err(e) => Err(Refusal::not_run(
            Cause::BadRequest,
            format!("the body could not be read: {e}"),
        )),
    }
}

/// Returns the retry policy of a route. Its hedges and retries share one budget,
/// so that the hedge percentage adds the tokens of both.
fn retry_policy(gateway: &Gateway, route: &Route) -> RetryPolicy {
    let percent = (gateway.fleet.retry_budget().ratio * BUDGET_RATIO_SHARE * 100.0) as u8;
    RetryPolicy {
        attempts: route.attempts.max(1),
        hedge_percent: percent,
        retry_percent: 0,
        awaits_replicas: false,
        hedge_within: Some(Millis(route.objective.0 * 2 / 5)),
    }
}

/// Returns a digest of the method, the host, the caller, the path with its
/// query and the body, which stay the same when a request that crashes upstreams
/// is repeated.
fn fingerprint(head: &Parts, workspace: Option<&str>, body: &[u8]) -> u64 {
    let mut text = Vec::with_capacity(body.len() + 128);
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    for part in [head.method.as_str(), path] {
        text.extend_from_slice(part.as_bytes());
        text.push(b'\n');
    }
    if let Some(workspace) = workspace {
        text.extend_from_slice(workspace.as_bytes());
        text.push(b'\n');
    }
    for name in [header::HOST, header::AUTHORIZATION] {
        text.extend_from_slice(head.headers.get(name).map_or(b"", |v| v.as_bytes()));
        text.push(b'\n');
    }
    text.extend_from_slice(body);
    xxh3_64(&text)
}

/// Returns the path and query alone, the form of URI that upstreams expect.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

/// Removes the headers that apply to one connection only, including those listed
/// in the `Connection` header.
pub(crate) fn remove_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = HOP_BY_HOP_HEADERS
        .into_iter()
        .chain([KEEP_ALIVE, PROXY_CONNECTION]);
    for name in listed.into_iter().chain(fixed) {
        headers.remove(name);
    }
    headers
}

/// Adds to a refusal the time after which the caller should retry.
pub(crate) fn with_retry_after(refusal: Refusal, wait: Millis, deadline: Millis) -> Refusal {
    let left = deadline.since(Millis::now());
    Refusal {
        retry_after: Some(retry_after(wait, left, rand::random())),
        ..refusal
    }
}

/// Returns the response for the caller from the answer of an upstream or another daemon.
pub(crate) fn caller_response(answer: Answer) -> Response<Bytes> {
    let (mut head, body) = answer.into_parts();
    head.headers = remove_hop_by_hop(head.headers);
    Response::from_parts(head, body)
}
