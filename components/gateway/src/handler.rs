//! One request of a caller, from its arrival to its answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use bytes::Bytes;
use clock::Millis;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Response, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use routes::{Entry, Repeat, Route, Table, Target};
use slog::info;
use telemetry::names;
use transport::{Local, detached, local};
use upstreams::{Call, Effort, Ran};
use xxhash_rust::xxh3::xxh3_64;

use crate::forward;
use crate::outcome::{Cause, Refusal, Result};
use crate::retry_after::retry_after;
use crate::state::Gateway;
use crate::wire::{Forwarded, Purpose, Terms};

/// Time for the way of an answer to the caller.
const ANSWER_MARGIN: Millis = Millis(10);
/// When a caller should come back to a daemon that has just started.
const LOADING_WAIT: Millis = Millis(200);
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

#[derive(Clone)]
struct App(Local<Rc<Gateway>>);

/// Returns the handler of all requests of callers.
pub(crate) fn router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .fallback(handle)
        .with_state(App(Local::new(gateway.clone())))
}

/// A request that is counted while it is served.
struct InFlight(Rc<Gateway>);

impl InFlight {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
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

async fn handle(State(app): State<App>, request: Request) -> Response<Body> {
    local(async move {
        let gateway: Rc<Gateway> = (*app.0).clone();
        let arrived = Millis::now();
        let counted = InFlight::new(&gateway);
        let terms = gateway.wire.terms(request.headers());
        let id = terms.as_ref().map(|t| t.id.clone()).unwrap_or_default();
        let plan = plan(&gateway, terms, &request);
        let route = plan.as_ref().map_or("", |p| &p.entry.route.name).to_owned();
        let result = match plan {
            Ok(plan) => serve(&gateway, plan, arrived, request).await,
            Err(refusal) => Err(refusal),
        };
        let elapsed = Millis::now().since(arrived);
        note_outcome(&result, route, elapsed);
        let mut response = match result {
            Ok(response) => response,
            Err(refusal) => {
                note_refusal(&gateway, &id, &refusal, elapsed);
                refusal.to_response()
            }
        };
        if gateway.is_leaving.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        drop(counted);
        response.map(Body::from)
    })
    .await
}

/// How a request will be served, before its body is read.
struct Plan {
    table: Rc<Table>,
    entry: Rc<Entry>,
    terms: Terms,
}

fn plan(gateway: &Gateway, terms: Result<Terms, String>, request: &Request) -> Result<Plan> {
    let table = gateway.fleet.table().ok_or_else(not_loaded)?;
    let terms = terms.map_err(|detail| Refusal::not_run(Cause::BadRequest, detail))?;
    let entry = find_route(&table, request)?;
    Ok(Plan {
        table,
        entry,
        terms,
    })
}

async fn serve(
    gateway: &Rc<Gateway>,
    plan: Plan,
    arrived: Millis,
    request: Request,
) -> Result<Response<Bytes>> {
    let job = read_job(gateway, plan, arrived, request).await?;
    match job.entry.route.repeat {
        Repeat::Idempotent => forward::run(gateway, &job).await,
        Repeat::AtMostOnce => run_once(gateway, job).await,
    }
}

/// Once it is sent, the request goes on if the caller hangs up: cutting it
/// would not undo it.
async fn run_once(gateway: &Rc<Gateway>, job: Job) -> Result<Response<Bytes>> {
    let gateway = gateway.clone();
    let _guard = CallerGuard(job.call.caller_left.clone());
    let task = async move { forward::run(&gateway, &job).await };
    // A task that panicked may have sent the request.
    let lost = || Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(Cause::UpstreamFailed, "the request's task ended")
    };
    detached(task).await.unwrap_or_else(|| Err(lost()))
}

/// Tells a request that its caller is gone, once the handler is dropped.
struct CallerGuard(Rc<Cell<bool>>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

fn note_outcome(result: &Result<Response<Bytes>>, route: String, elapsed: Millis) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(refusal) => refusal.cause.name(),
    };
    let seconds = Duration::from(elapsed).as_secs_f64();
    metrics::histogram!(names::REQUEST_SECONDS, "outcome" => outcome, "route" => route)
        .record(seconds);
}

fn note_refusal(gateway: &Gateway, id: &str, refusal: &Refusal, elapsed: Millis) {
    let cause = refusal.cause.name();
    metrics::counter!(names::REFUSALS_TOTAL, "reason" => cause).increment(1);
    gateway.fleet.shared().lines.note(|| {
        info!(gateway.log, "request not served"; "request_id" => id, "cause" => cause,
            "ran" => ?refusal.ran, "status" => refusal.status().as_u16(),
            "detail" => &refusal.detail, "elapsed_ms" => elapsed.0,
            "retry_after_ms" => refusal.retry_after.map(|r| r.0),
            "in_flight" => gateway.in_flight.get(),
            "store_age_ms" => gateway.follower.store_age(Millis::now()).0);
    });
}

fn not_loaded() -> Refusal {
    Refusal {
        retry_after: Some(LOADING_WAIT),
        ..Refusal::not_run(Cause::NotLoaded, "no configuration is known yet")
    }
}

fn find_route(table: &Table, request: &Request) -> Result<Rc<Entry>> {
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|h| h.to_str().ok());
    let host = host.or(request.uri().host()).unwrap_or_default();
    let path = request.uri().path();
    table.find(host, path).ok_or_else(|| {
        let detail = format!("no route for {host}{path} in version {}", table.version);
        Refusal::not_run(Cause::NoRoute, detail)
    })
}

async fn read_job(gateway: &Gateway, plan: Plan, arrived: Millis, request: Request) -> Result<Job> {
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
        effort: effort(gateway, route),
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

fn effort(gateway: &Gateway, route: &Route) -> Effort {
    let percent = (gateway.fleet.budgets().ratio * RATIO_SHARE * 100.0) as u8;
    Effort {
        attempts: route.attempts.max(1),
        hedge_percent: percent,
        retry_percent: 0,
        is_patient: false,
        hedge_limit: Some(Millis(route.objective.0 * 2 / 5)),
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
