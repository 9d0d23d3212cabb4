//! The platform's list of instances; changes become visible after a
//! configurable delay.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use clock::Millis;
use serde::Deserialize;
use serde_json::{Value, json};
use transport::Local;

#[derive(Default)]
struct ListState {
    // Each list with the time from which it is served, oldest first.
    lists: RefCell<Vec<(Millis, Value)>>,
    lag: Cell<Millis>,
}

#[derive(Clone)]
struct App(Local<Rc<ListState>>);

#[derive(Deserialize)]
struct Lag {
    lag_ms: u64,
}

/// Returns the routes of a list that is empty at first.
pub fn router() -> Router {
    Router::new()
        .route("/v1/instances", get(list).post(set_list))
        .route("/lag", post(set_lag))
        .with_state(App(Local::new(Rc::default())))
}

async fn list(State(app): State<App>) -> Response {
    let now = Millis::now();
    let lists = app.0.lists.borrow();
    let current = lists.iter().rev().find(|(from, _)| *from <= now);
    let instances = current.map_or_else(|| json!([]), |(_, list)| list.clone());
    Json(json!({ "instances": instances })).into_response()
}

async fn set_list(State(app): State<App>, Json(list): Json<Value>) -> StatusCode {
    let from = Millis::now() + app.0.lag.get();
    app.0.lists.borrow_mut().push((from, list));
    StatusCode::OK
}

async fn set_lag(State(app): State<App>, Json(lag): Json<Lag>) -> StatusCode {
    app.0.lag.set(Millis(lag.lag_ms));
    StatusCode::OK
}
