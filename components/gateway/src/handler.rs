//! One request of a caller, from its arrival to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use bytes::Bytes;
use clock::Millis;
use http::{HeaderValue, Response, header};
use routes::{Delivery, Entry, Table};
use slog::info;
use telemetry::names;
use transport::{Local, detached, local};
use upstreams::Ran;

use crate::forward;
use crate::job::{Job, Plan, read_job};
use crate::outcome::{Cause, Refusal, Result};
use crate::state::Gateway;
use crate::wire::RequestContext;

/// When a caller should come back to a daemon that has just started.
const LOADING_WAIT: Millis = Millis(200);
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

async fn handle(State(app): State<App>, request: Request) -> Response<Body> {
    local(async move {
        let gateway: Rc<Gateway> = (*app.0).clone();
        let arrived = Millis::now();
        let counted = InFlight::new(&gateway);
        let terms = gateway.wire.request_context(request.headers());
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

fn plan(
    gateway: &Gateway,
    terms: Result<RequestContext, String>,
    request: &Request,
) -> Result<Plan> {
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
    match job.entry.route.delivery {
        Delivery::Idempotent => forward::run(gateway, &job).await,
        Delivery::AtMostOnce => run_once(gateway, job).await,
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
