//! A caller's request with the route that serves it, as the engine runs it.

use std::cell::RefCell;
use std::rc::Rc;

use axum::body::Body;
use axum::extract::Request;
use bytes::Bytes;
use clock::Millis;
use http::header::{self, HeaderName};
use http::{HeaderMap, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use routes::{Entry, Route, Table, Target};
use upstreams::{Call, RetryPolicy};
use xxhash_rust::xxh3::xxh3_64;

use crate::outcome::{Cause, Refusal, Result};
use crate::retry_after::retry_after;
use crate::state::Gateway;
use crate::wire::{Forwarded, Purpose, Terms};

/// Time for the way of an answer to the caller.
const ANSWER_MARGIN: Millis = Millis(10);
/// Share of the platform's ratio of extra load that is used.
const RATIO_SHARE: f64 = 0.9;
/// Headers that concern only one connection.
const CONNECTION_HEADERS: [HeaderName; 8] = [
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

/// How a request will be served, before its body is read.
pub(crate) struct Plan {
    pub(crate) table: Rc<Table>,
    pub(crate) entry: Rc<Entry>,
    pub(crate) terms: Terms,
}

/// A request whose route is known.
pub(crate) struct Job {
    pub(crate) entry: Rc<Entry>,
    /// Version of the configuration that the request keeps.
    pub(crate) version: u64,
    pub(crate) arrived: Millis,
    pub(crate) call: Call,
    pub(crate) forwarded: Rc<Forwarded>,
}

/// Reads the body of a request and makes it ready for the engine.
pub(crate) async fn read_job(
    gateway: &Gateway,
    plan: Plan,
    arrived: Millis,
    request: Request,
) -> Result<Job> {
    let Plan {
        table,
        entry,
        terms,
    } = plan;
    let (head, body) = request.into_parts();
    let body = read_body(body, table.limits.body_bytes).await?;
    let route = &entry.route;
    let purpose = match route.target {
        Target::Gather(_) => Purpose::Part,
        Target::Service(_) | Target::Split(_) => Purpose::Whole,
    };
    let fingerprint = fingerprint(&head.headers, &head.uri, &body);
    let forwarded = Rc::new(Forwarded {
        id: terms.id,
        method: head.method,
        uri: origin_form(&head.uri),
        headers: end_to_end(head.headers),
        body,
        purpose,
        failed: RefCell::default(),
    });
    let budget = terms.budget.map_or(route.timeout, |b| b.min(route.timeout));
    let call = Call {
        message: gateway.wire.message(forwarded.clone()),
        version: None,
        fingerprint,
        priority: route.priority,
        deadline: arrived + (budget - ANSWER_MARGIN),
        caller_left: Rc::default(),
        policy: effort(gateway, route),
    };
    Ok(Job {
        entry,
        version: table.version,
        arrived,
        call,
        forwarded,
    })
}

async fn read_body(body: Body, limit: usize) -> Result<Bytes> {
    match Limited::new(body, limit).collect().await {
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

fn effort(gateway: &Gateway, route: &Route) -> RetryPolicy {
    let percent = (gateway.fleet.budgets().ratio * RATIO_SHARE * 100.0) as u8;
    RetryPolicy {
        attempts: route.attempts.max(1),
        hedge_percent: percent,
        retry_percent: 0,
        awaits_replicas: false,
        hedge_within: Some(Millis(route.objective.0 * 2 / 5)),
    }
}

/// A digest of what the caller sent: a request that crashes upstreams comes
/// again with the same path, caller and body.
fn fingerprint(headers: &HeaderMap, uri: &Uri, body: &[u8]) -> u64 {
    let mut text = Vec::with_capacity(body.len() + 128);
    for part in [header::HOST, header::AUTHORIZATION] {
        text.extend_from_slice(headers.get(part).map_or(b"", |v| v.as_bytes()));
        text.push(b'\n');
    }
    text.extend_from_slice(uri.path().as_bytes());
    text.push(b'\n');
    text.extend_from_slice(body);
    xxh3_64(&text)
}

/// The path and query, as upstreams expect them.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}

/// Removes the headers that concern only one connection, also those that the
/// `Connection` header names.
pub(crate) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let fixed = CONNECTION_HEADERS
        .into_iter()
        .chain([KEEP_ALIVE, PROXY_CONNECTION]);
    for name in named.into_iter().chain(fixed) {
        headers.remove(name);
    }
    headers
}

/// Adds to a refusal when the caller should come back.
pub(crate) fn with_retry_after(refusal: Refusal, wait: Millis, call: &Call) -> Refusal {
    let left = call.deadline.since(Millis::now());
    Refusal {
        retry_after: Some(retry_after(wait, left, rand::random())),
        ..refusal
    }
}
