//! HTTP endpoints for the load balancer, for peers and for operators.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use axum::body::to_bytes;
use axum::extract::{Query, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use clock::Millis;
use discovery::{
    CRASHES_PATH, CrashEntry, CrashExchange, Position, SUSPICIONS_PATH, SuspicionEntry,
};
use http::StatusCode;
use quota::Message;
use serde::de::DeserializeOwned;
use telemetry::names;
use transport::{Local, local};
use upstreams::{UpstreamState, UpstreamView};

use crate::handler;
use crate::quotas::{QUOTA_LIMIT_BYTES, QUOTA_PATH};
use crate::state::Gateway;
use crate::view::StateView;

const CRASHES_LIMIT_BYTES: usize = 1024 * 1024;
const CRASHES_TIMEOUT: Millis = Millis(2_000);
const QUOTA_TIMEOUT: Millis = Millis(1_000);

#[derive(Clone)]
struct App(Local<Rc<Gateway>>);

/// Returns the router for the load balancer.
pub(crate) fn ready_router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .route(&gateway.settings.borrow().ready_path, get(ready))
        .with_state(App(Local::new(gateway.clone())))
}

/// Returns the router for peers.
pub(crate) fn peer_router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .route("/v1/directory", get(directory))
        .route(CRASHES_PATH, post(crashes))
        .route(SUSPICIONS_PATH, post(suspicions))
        .route(QUOTA_PATH, post(quota))
        .fallback(handed_over)
        .with_state(App(Local::new(gateway.clone())))
}

/// Returns the router for operators.
pub(crate) fn metrics_router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/state", get(state))
        .with_state(App(Local::new(gateway.clone())))
}

async fn ready(State(app): State<App>) -> (StatusCode, &'static str) {
    match app.0.unready_reason() {
        None => (StatusCode::OK, "ready\n"),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

async fn directory(State(app): State<App>, Query(query): Query<HashMap<String, u64>>) -> Response {
    let number = |name| query.get(name).copied().unwrap_or(0);
    let wait = Millis(number("wait_ms"));
    let accepts_deflated = number("deflate") > 0;
    let after = Position {
        epoch: number("epoch"),
        revision: number("after"),
    };
    local(async move {
        let update = app.0.follower.serve_peer(after, wait).await;
        Json(app.0.follower.relay_state(update, accepts_deflated)).into_response()
    })
    .await
}

/// Reads a peer's message.
///
/// # Errors
///
/// Fails with the status of the answer if it is too long, too slow or malformed.
async fn read_message<T: DeserializeOwned>(
    request: Request,
    limit: usize,
    timeout: Millis,
) -> Result<T, StatusCode> {
    let body = to_bytes(request.into_body(), limit);
    let body = compio::time::timeout(timeout.into(), body)
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)?
        .map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)
}

/// Merges the crashes that a peer sends.
async fn crashes(State(app): State<App>, request: Request) -> Result<(), StatusCode> {
    local(async move {
        let crashes =
            read_message::<Vec<CrashEntry>>(request, CRASHES_LIMIT_BYTES, CRASHES_TIMEOUT);
        app.0.crash_sharing.merge_crashes(&crashes.await?);
        Ok(())
    })
    .await
}

/// Merges the suspicions that a peer sends.
async fn suspicions(State(app): State<App>, request: Request) -> Result<(), StatusCode> {
    local(async move {
        let suspicions =
            read_message::<Vec<SuspicionEntry>>(request, CRASHES_LIMIT_BYTES, CRASHES_TIMEOUT);
        app.0.crash_sharing.merge_suspicions(suspicions.await?);
        Ok(())
    })
    .await
}

/// Answers a daemon that asks for tokens; 409 if this daemon is the allocator of none of its
/// workspaces.
async fn quota(State(app): State<App>, request: Request) -> Response {
    local(async move {
        let message = read_message::<Message>(request, QUOTA_LIMIT_BYTES, QUOTA_TIMEOUT);
        let message = match message.await {
            Ok(message) => message,
            Err(status) => return status.into_response(),
        };
        let answer = app.0.quotas.answer(&message);
        match answer.grants.is_empty() && !message.requests.is_empty() {
            true => StatusCode::CONFLICT.into_response(),
            false => Json(answer).into_response(),
        }
    })
    .await
}

/// Serves a request of a daemon that reaches no upstream.
async fn handed_over(State(app): State<App>, request: Request) -> Response {
    local(async move {
        let answer = handler::answer_peer(&app.0, request).await;
        answer.unwrap_or_else(|| StatusCode::NOT_FOUND.into_response())
    })
    .await
}

async fn metrics(State(app): State<App>) -> String {
    refresh_gauges(&app.0);
    app.0.recorder.render()
}

/// Returns the state of the gateway and its pools as JSON, with the age of the
/// data from the store.
async fn state(State(app): State<App>) -> Response {
    Json(StateView::new(&app.0)).into_response()
}

fn refresh_gauges(gateway: &Gateway) {
    let now = Millis::now();
    let age = Duration::from(gateway.follower.store_age(now)).as_secs_f64();
    metrics::gauge!(names::STORE_AGE_SECONDS).set(age);
    metrics::gauge!(names::IN_FLIGHT).set(gateway.in_flight.count() as f64);
    let version = gateway.fleet.table().map_or(0, |t| t.version);
    metrics::gauge!(names::REVISION).set(version as f64);
    let quarantined = gateway.fleet.shared().crashes.quarantined_count(now);
    metrics::gauge!(names::QUARANTINED).set(quarantined as f64);
    let are_cut = gateway.fleet.shared().links.are_cut();
    metrics::gauge!(names::LINKS_LOST).set(f64::from(u8::from(are_cut)));
    let limited = gateway.fleet.shared().rate_limits.len();
    metrics::gauge!(names::RATE_LIMITED_UPSTREAMS).set(limited as f64);
    let cold_limits = &gateway.fleet.shared().cold_limits;
    let cold = cold_limits.count(Millis::since_boot());
    metrics::gauge!(names::COLD_UPSTREAMS).set(cold as f64);
    let evacuated = gateway.fleet.evacuated().len();
    metrics::gauge!(names::EVACUATED_DOMAINS).set(evacuated as f64);
    metrics::gauge!(names::QUOTA_TOKENS).set(gateway.quotas.tokens() as f64);
    let pools = gateway.fleet.pools();
    let upstreams: Vec<UpstreamView> = pools.iter().flat_map(|p| p.upstream_views()).collect();
    let queued: usize = pools.iter().map(|p| p.queued()).sum();
    let open: usize = upstreams.iter().map(|u| u.open).sum();
    let busy: usize = upstreams.iter().map(|u| u.busy).sum();
    metrics::gauge!(names::QUEUE_LENGTH).set(queued as f64);
    metrics::gauge!(names::UPSTREAM_CONNECTIONS).set(open as f64);
    metrics::gauge!(names::SLOTS_USED).set(busy as f64);
    for state in [
        UpstreamState::Serving,
        UpstreamState::Resting,
        UpstreamState::Leaving,
    ] {
        let count = upstreams.iter().filter(|u| u.state() == state).count();
        metrics::gauge!(names::UPSTREAMS, "state" => state.name()).set(count as f64);
    }
}
