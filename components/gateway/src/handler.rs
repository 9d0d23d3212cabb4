//! The handler of callers' requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use bytes::Bytes;
use clock::Millis;
use futures_util::future::{Either, select};
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, Limited};
use routes::{Delivery, Entry, Table};
use slog::{info, warn};
use telemetry::names;
use transport::{Local, detached, local};
use upstreams::{AttemptsMade, Ran};

use crate::forward;
use crate::identity::Identity;
use crate::in_flight::InFlightRequest;
use crate::peer_forward::{read_handover, refusal_outcome, unserved, with_outcome};
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::{
    Origin, ResolvedRoute, RoutedRequest, deadline, read_request, with_retry_after,
};
use crate::state::Gateway;
use crate::wire::RequestContext;

/// Retry-After of requests that arrive before a configuration is in force.
const LOADING_RETRY_AFTER: Millis = Millis(200);

/// Time for which the body of a refused request is read.
const DISCARD_TIME: Millis = Millis(1_000);

const UNREADABLE_ATTEMPTS: &str = "the attempts made before can't be read";

#[derive(Clone)]
struct App(Local<Rc<Gateway>>);

/// Returns the router for all callers' requests.
pub(crate) fn router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .fallback(handle)
        .with_state(App(Local::new(gateway.clone())))
}

async fn handle(State(app): State<App>, request: Request) -> Response<Body> {
    local(async move {
        let gateway: Rc<Gateway> = (*app.0).clone();
        let context = gateway.wire.request_context(request.headers());
        answer(&gateway, Source::caller(), context, request).await
    })
    .await
}

/// Answers a request that another daemon hands over, because it reaches no upstream or
/// has a smaller processor; `None` if it is no such request.
pub(crate) async fn answer_peer(
    gateway: &Rc<Gateway>,
    mut request: Request,
) -> Option<Response<Body>> {
    let handover = read_handover(&mut request)?;
    if let Some(reason) = gateway.handover_obstacle(handover.version) {
        return Some(unserved(reason).map(Body::from));
    }
    let Some(attempts) = handover.attempts else {
        warn!(gateway.log, "request of a peer not taken"; "reason" => UNREADABLE_ATTEMPTS);
        return Some(unserved(UNREADABLE_ATTEMPTS).map(Body::from));
    };
    let context = gateway.wire.request_context(request.headers());
    let context = context.map(|context| RequestContext {
        // Counted from the arrival at the first daemon.
        timeout: Some(handover.time_left + handover.elapsed),
        ..context
    });
    let source = Source {
        origin: Origin::Peer,
        arrived: Millis::now() - handover.elapsed,
        attempts,
    };
    Some(answer(gateway, source, context, request).await)
}

/// Where a request comes from, and what happened to it before.
struct Source {
    origin: Origin,
    /// Arrival at the first daemon.
    arrived: Millis,
    attempts: AttemptsMade,
}

impl Source {
    /// Returns the source of a request that a caller has just sent.
    fn caller() -> Self {
        Self {
            origin: Origin::Caller,
            arrived: Millis::now(),
            attempts: AttemptsMade::default(),
        }
    }
}

async fn answer(
    gateway: &Rc<Gateway>,
    source: Source,
    context: Result<RequestContext, String>,
    request: Request,
) -> Response<Body> {
    let (origin, arrived) = (source.origin, source.arrived);
    let id = context.as_ref().map(|c| c.id.clone()).unwrap_or_default();
    let resolved = resolve(gateway, source, context, &request);
    let route = resolved
        .as_ref()
        .map_or("", |r| &r.entry.route.name)
        .to_owned();
    let version = gateway.fleet.table().map_or(0, |table| table.version);
    let in_flight = gateway.in_flight.begin(InFlightRequest {
        id: id.clone(),
        route: route.clone(),
        arrived,
    });
    let result = match resolved {
        Ok(resolved) => serve_before_exit(gateway, resolved, request).await,
        Err(refusal) => {
            if refusal.cause == Cause::UnknownKey {
                discard_body(gateway, request);
            }
            Err(refusal)
        }
    };
    let elapsed = Millis::now().since(arrived);
    record_outcome(&result, route, elapsed);
    let ran = refusal_outcome(&result);
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) if origin == Origin::Peer && refusal.is_untaken => {
            drop(in_flight);
            return unserved(refusal.cause.name()).map(Body::from);
        }
        Err(refusal) => {
            log_refusal(gateway, &id, &refusal, elapsed);
            refusal.to_response()
        }
    };
    if gateway.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(in_flight);
    let response = response.map(Body::from);
    match origin {
        Origin::Caller => response,
        Origin::Peer => with_outcome(response, version, ran),
    }
}

fn resolve(
    gateway: &Gateway,
    source: Source,
    context: Result<RequestContext, String>,
    request: &Request,
) -> Result<ResolvedRoute> {
    let table = gateway.fleet.table().ok_or_else(not_loaded)?;
    let context = context.map_err(|detail| Refusal::not_run(Cause::BadRequest, detail))?;
    // What this version refuses, a newer one may allow.
    let unless_behind = |refusal| match gateway.peer_forwarder.is_ahead_of(table.version) {
        true => not_loaded(),
        false => refusal,
    };
    let entry = find_route(&table, request).map_err(unless_behind)?;
    let (wire, headers) = (gateway.wire.as_ref(), request.headers());
    let identity = Identity::resolve(wire, &table, &entry.route, source.origin, headers);
    let identity = identity.map_err(unless_behind)?;
    Ok(ResolvedRoute {
        deadline: deadline(&entry.route, &context, source.arrived),
        table,
        entry,
        origin: source.origin,
        identity,
        context,
        arrived: source.arrived,
        may_have_run: Rc::default(),
        attempts: source.attempts,
    })
}

/// Reads the body of a refused request without keeping it. The HTTP library closes the
/// connection if a body that has not arrived completely is dropped.
fn discard_body(gateway: &Gateway, request: Request) {
    let limit = gateway.fleet.table().map_or(0, |t| t.limits.body_bytes);
    let mut body = Limited::new(request.into_body(), limit);
    let reading = async move { while let Some(Ok(_)) = body.frame().await {} };
    let reading = async move {
        // A body that takes longer costs the caller its connection.
        let _ = compio::time::timeout(DISCARD_TIME.into(), reading).await;
    };
    compio::runtime::spawn(reading).detach();
}

/// Serves a request, or refuses it when the process is about to exit.
async fn serve_before_exit(
    gateway: &Rc<Gateway>,
    resolved: ResolvedRoute,
    request: Request,
) -> Result<Response<Bytes>> {
    let (deadline, may_have_run) = (resolved.deadline, resolved.may_have_run.clone());
    let served = std::pin::pin!(serve(gateway, resolved, request));
    let due = std::pin::pin!(gateway.answers_due.wait());
    match select(served, due).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(outlasts_shutdown(may_have_run.get(), deadline)),
    }
}

fn outlasts_shutdown(may_have_run: bool, deadline: Millis) -> Refusal {
    let detail = "the request outlasts the shutdown of this daemon";
    let refusal = Refusal::not_run(Cause::ShuttingDown, detail);
    match may_have_run {
        true => Refusal {
            ran: Ran::Unknown,
            ..refusal
        },
        false => with_retry_after(refusal, Millis::ZERO, deadline),
    }
}

async fn serve(
    gateway: &Rc<Gateway>,
    resolved: ResolvedRoute,
    request: Request,
) -> Result<Response<Bytes>> {
    let routed = read_request(gateway, resolved, request).await?;
    match routed.entry.route.delivery {
        Delivery::Idempotent => {
            let guard = DisconnectGuard(Some(routed.call.caller_left.clone()));
            let result = forward::run(gateway, &routed).await;
            guard.disarm();
            result
        }
        Delivery::AtMostOnce => run_once(gateway, routed).await,
    }
}

/// Runs a request in a task of its own that continues if the caller
/// disconnects: cancelling a request that was sent would not undo it.
async fn run_once(gateway: &Rc<Gateway>, routed: RoutedRequest) -> Result<Response<Bytes>> {
    let gateway = gateway.clone();
    let guard = DisconnectGuard(Some(routed.call.caller_left.clone()));
    let running = gateway.detached.begin(InFlightRequest {
        id: routed.forwarded.id.clone(),
        route: routed.entry.route.name.clone(),
        arrived: routed.arrived,
    });
    let task = async move {
        let result = forward::run(&gateway, &routed).await;
        drop(running);
        result
    };
    // A task that panicked may already have sent the request.
    let task_ended = || Refusal {
        ran: Ran::Unknown,
        ..Refusal::not_run(
            Cause::UpstreamFailed,
            "the request's task ended without an outcome",
        )
    };
    let result = detached(task).await;
    guard.disarm();
    result.unwrap_or_else(|| Err(task_ended()))
}

/// Marks a request's caller as disconnected when the handler is dropped before the request
/// is answered.
struct DisconnectGuard(Option<Rc<Cell<bool>>>);

impl DisconnectGuard {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(caller_left) = &self.0 {
            caller_left.set(true);
        }
    }
}

fn record_outcome(result: &Result<Response<Bytes>>, route: String, elapsed: Millis) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(refusal) => refusal.cause.name(),
    };
    let seconds = Duration::from(elapsed).as_secs_f64();
    metrics::histogram!(names::REQUEST_SECONDS, "outcome" => outcome, "route" => route)
        .record(seconds);
}

fn log_refusal(gateway: &Gateway, id: &str, refusal: &Refusal, elapsed: Millis) {
    let cause = refusal.cause.name();
    metrics::counter!(names::REFUSALS_TOTAL, "reason" => cause).increment(1);
    gateway.fleet.shared().log_limiter.write(|| {
        info!(gateway.log, "request not served"; "request_id" => id, "cause" => cause,
            "ran" => ?refusal.ran, "status" => refusal.status().as_u16(),
            "detail" => &refusal.detail, "elapsed_ms" => elapsed.0,
            "retry_after_ms" => refusal.retry_after.map(|r| r.0),
            "in_flight" => gateway.in_flight.count(), "leaving" => gateway.is_leaving(),
            "store_age_ms" => gateway.follower.store_age(Millis::now()).0);
    });
}

fn not_loaded() -> Refusal {
    Refusal {
        retry_after: Some(LOADING_RETRY_AFTER),
        ..Refusal::not_run(Cause::NotLoaded, "the configuration is not in force yet")
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
