//! The HTTP interface for callers.

mod request;

use std::rc::Rc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::middleware::map_response_with_state;
use axum::response::Response;
use axum::routing::{get, post};
use clock::Millis;
use http::{HeaderValue, StatusCode, header};
use query::{BookRequest, Kind, Refusal, Result, SearchRequest};
use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use transport::{Local, local};
use upstreams::Ran;

use self::request::{check_request_id, decode, idempotency_key, read_body, request_id, timeout};
use crate::in_flight::{End, InFlightRequest};
use crate::problem;
use crate::state::Daemon;

const REQUEST_ID_HEADER: &str = "x-request-id";
const CUT_RETRY_AFTER: Millis = Millis(500);

#[derive(Clone)]
struct AppState(Local<Rc<Daemon>>);

/// The body of a search request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SearchBody {
    query: Box<RawValue>,
    shards: Option<Vec<String>>,
}

/// The body of a booking request.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BookBody {
    booking: Box<RawValue>,
    shard: Option<String>,
}

/// Returns the routes for callers.
pub(crate) fn router(daemon: Rc<Daemon>) -> Router {
    let state = AppState(Local::new(daemon));
    Router::new()
        .route("/v1/services/{service}/search", post(search))
        .route("/v1/services/{service}/book", post(book))
        .route("/healthz", get(healthz))
        .route("/readyz", get(readyz))
        .route("/metrics", get(render_metrics))
        .fallback(unknown_path)
        .method_not_allowed_fallback(wrong_method)
        .layer(map_response_with_state(state.clone(), close_if_leaving))
        .with_state(state)
}

/// Requests that callers of a leaving daemon use another connection, which the
/// load balancer then directs to another daemon.
async fn close_if_leaving(State(app): State<AppState>, mut response: Response) -> Response {
    if app.0.is_leaving.get() {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    response
}

async fn search(
    State(app): State<AppState>,
    Path(service): Path<String>,
    request: Request,
) -> Response {
    local(async move {
        let request_id = request_id(request.headers());
        let result = run_search(&app.0, service, &request_id, request).await;
        respond(result, &request_id)
    })
    .await
}

async fn run_search(
    daemon: &Daemon,
    service: String,
    id: &str,
    request: Request,
) -> Result<Vec<u8>> {
    let headers = request.headers().clone();
    check_request_id(&headers)?;
    let timeout = timeout(&headers)?;
    let body = read_body(daemon, request).await?;
    let body: SearchBody = decode(&body)?;
    let request = SearchRequest {
        request_id: id.to_owned(),
        service,
        timeout,
        shards: body.shards,
        body: body.query.get().to_owned().into(),
    };
    let listed = InFlightRequest::new("search", id, &request.service);
    let search = daemon.root.search(&request);
    let answer = match daemon.in_flight.run(listed, search).await {
        End::Done(answer) => answer,
        End::Cut | End::Failed => Err(cut_refusal(Kind::Unready)),
        End::NotRun => Err(not_run_refusal()),
    };
    slog::debug!(daemon.log, "search"; "request_id" => id, "service" => &request.service,
        "revision" => answer.as_ref().map_or(0, |a| a.revision),
        "covered" => answer.as_ref().map_or(0, |a| a.covered.len()));
    answer.map(|a| encode(&a))
}

async fn book(
    State(app): State<AppState>,
    Path(service): Path<String>,
    request: Request,
) -> Response {
    local(async move {
        let request_id = request_id(request.headers());
        let result = run_booking(&app.0, service, &request_id, request).await;
        respond(result, &request_id)
    })
    .await
}

async fn run_booking(
    daemon: &Rc<Daemon>,
    service: String,
    id: &str,
    request: Request,
) -> Result<Vec<u8>> {
    let headers = request.headers().clone();
    check_request_id(&headers)?;
    let timeout = timeout(&headers)?;
    let key = idempotency_key(&headers)?;
    let body = read_body(daemon, request).await?;
    let body: BookBody = decode(&body)?;
    let request = BookRequest {
        request_id: id.to_owned(),
        service,
        key,
        timeout,
        shard: body.shard,
        body: body.booking.get().to_owned().into(),
    };
    // A detached booking completes when the caller disconnects, so that its
    // outcome is kept.
    let root = daemon.root.clone();
    let listed = InFlightRequest::new("booking", id, &request.service);
    let booking = async move { root.book(&request).await };
    let answer = match daemon.in_flight.run_detached(listed, booking).await {
        End::Done(answer) => answer,
        End::Cut => Err(cut_refusal(Kind::OutcomeUnknown)),
        End::NotRun => Err(not_run_refusal()),
        End::Failed => Err(task_failed()),
    };
    answer.map(|a| encode(&a))
}

fn task_failed() -> Refusal {
    Refusal {
        kind: Kind::OutcomeUnknown,
        ran: Ran::Unknown,
        detail: "the booking's task ended without an outcome".to_owned(),
        retry_after: None,
    }
}

/// Refuses a request that is in flight when the shutdown runs out of time.
fn cut_refusal(kind: Kind) -> Refusal {
    Refusal {
        kind,
        ran: Ran::Unknown,
        detail: "this daemon shut down before the request had an outcome".to_owned(),
        retry_after: Some(CUT_RETRY_AFTER),
    }
}

/// Refuses a request that arrives after the shutdown cut those in flight.
fn not_run_refusal() -> Refusal {
    let detail = "this daemon is about to exit";
    Refusal::not_run(Kind::Unready, detail, CUT_RETRY_AFTER)
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(State(app): State<AppState>) -> (StatusCode, &'static str) {
    match app.0.unready_reason() {
        None => (StatusCode::OK, "ready\n"),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

async fn render_metrics(State(app): State<AppState>) -> String {
    app.0.refresh_gauges();
    app.0.recorder.render()
}

async fn unknown_path(request: Request) -> Response {
    let detail = format!("no such path: {}", request.uri().path());
    let refusal = Refusal::invalid(Kind::UnknownPath, detail);
    problem::response(&refusal, &request_id(request.headers()))
}

async fn wrong_method(request: Request) -> Response {
    let detail = format!(
        "{} is not allowed for {}",
        request.method(),
        request.uri().path()
    );
    let refusal = Refusal::invalid(Kind::WrongMethod, detail);
    problem::response(&refusal, &request_id(request.headers()))
}

fn respond(result: Result<Vec<u8>>, request_id: &str) -> Response {
    match result {
        Ok(body) => Response::builder()
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, request_id)
            .body(Body::from(body))
            .unwrap_or_default(),
        Err(refusal) => problem::response(&refusal, request_id),
    }
}

fn encode<T: Serialize>(answer: &T) -> Vec<u8> {
    // All values of the answer types can be written as JSON.
    serde_json::to_vec(answer).unwrap_or_default()
}
