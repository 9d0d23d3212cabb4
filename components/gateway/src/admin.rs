//! What the load balancer, peers and operators ask of a gateway.

use std::collections::HashMap;
use std::rc::Rc;

use axum::Router;
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use discovery::RelayState;
use http::StatusCode;
use transport::Local;

use crate::state::Gateway;

#[derive(Clone)]
struct App(Local<Rc<Gateway>>);

/// Returns the routes for the load balancer.
pub(crate) fn ready_router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .route(&gateway.settings.borrow().ready_path, get(ready))
        .with_state(App(Local::new(gateway.clone())))
}

/// Returns the routes for peers.
pub(crate) fn peer_router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .route("/v1/directory", get(directory))
        .with_state(App(Local::new(gateway.clone())))
}

/// Returns the routes for operators.
pub(crate) fn metrics_router(gateway: &Rc<Gateway>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .with_state(App(Local::new(gateway.clone())))
}

async fn ready(State(app): State<App>) -> (StatusCode, &'static str) {
    match app.0.unready_reason() {
        None => (StatusCode::OK, "ready\n"),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

async fn directory(State(app): State<App>, Query(query): Query<HashMap<String, u64>>) -> Response {
    let directory = app.0.directory.borrow();
    let after = query.get("after").copied().unwrap_or(0);
    if directory.revision() <= after {
        return StatusCode::NO_CONTENT.into_response();
    }
    axum::Json(RelayState::from(directory.snapshot())).into_response()
}

async fn metrics(State(app): State<App>) -> String {
    app.0.recorder.render()
}
