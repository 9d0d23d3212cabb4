//! The key-value store of the `serve` daemons: compare-and-swap, watches and
//! leases, with faults that can be switched while it runs. It can be restored from
//! a backup of its values.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use axum::Router;
use axum::extract::{Path, Query, State};
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, http::StatusCode};
use clock::Millis;
use serde::{Deserialize, Serialize};
use serde_json::json;
use transport::{Local, local};

use crate::epoch::{STORE_HEADER, add_epoch};

const VALUE_LIMIT_BYTES: usize = 1_000_000;
const WATCH_POLL_INTERVAL: Millis = Millis(5);
const HANG_TIME: Millis = Millis(600_000);

/// Faults of the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers 503 to every call.
    pub down: bool,
    /// Accepts calls without answering them for 600 s.
    pub hang: bool,
    /// Delays every answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes that take effect but are not answered.
    pub lose_answers: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Stats {
    gets: u64,
    swaps: u64,
    written: u64,
    watches: u64,
}

#[derive(Default)]
struct StoreState {
    values: RefCell<HashMap<String, (u64, String)>>,
    leases: RefCell<HashMap<String, (String, Millis)>>,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    lost_answers: Cell<u64>,
    backup: RefCell<HashMap<String, (u64, String)>>,
    /// Times that the store was restored; in all answers once there
    /// are any.
    epoch: Cell<u64>,
}

#[derive(Clone)]
struct App(Local<Rc<StoreState>>);

#[derive(Deserialize)]
struct SwapBody {
    expected: u64,
    value: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    holder: String,
    ttl_ms: u64,
}

/// Returns the routes of an empty store.
pub fn router() -> Router {
    let state = App(Local::new(Rc::new(StoreState::default())));
    Router::new()
        .route("/v1/kv/{*key}", get(read))
        .route("/v1/cas/{*key}", post(swap))
        .route("/v1/watch/{*key}", get(watch))
        .route("/v1/lease/{*key}", post(lease))
        .route("/faults", post(set_faults))
        .route("/stats", get(stats))
        .route("/backup", post(back_up))
        .route("/restore", post(restore))
        .layer(map_response_with_state(state.clone(), with_epoch))
        .with_state(state)
}

impl StoreState {
    /// Applies the faults that affect every call.
    async fn admit(&self) -> Result<(), StatusCode> {
        let faults = self.faults.borrow().clone();
        if faults.hang {
            compio::time::sleep(HANG_TIME.into()).await;
        }
        if faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        compio::time::sleep(Millis(faults.delay_ms).into()).await;
        Ok(())
    }

    fn entry(&self, key: &str) -> Option<Response> {
        let values = self.values.borrow();
        let (version, value) = values.get(key)?;
        Some(Json(json!({ "version": version, "value": value })).into_response())
    }

    fn write(&self, key: &str, body: SwapBody) -> Response {
        let mut values = self.values.borrow_mut();
        let version = values.get(key).map_or(0, |(version, _)| *version);
        if version != body.expected {
            return (StatusCode::CONFLICT, Json(json!({ "version": version }))).into_response();
        }
        self.stats.borrow_mut().written += 1;
        values.insert(key.to_owned(), (version + 1, body.value));
        Json(json!({ "version": version + 1 })).into_response()
    }
}

async fn read(State(app): State<App>, Path(key): Path<String>) -> Response {
    local(async move {
        app.0.stats.borrow_mut().gets += 1;
        match app.0.admit().await {
            Ok(()) => app
                .0
                .entry(&key)
                .unwrap_or_else(|| StatusCode::NOT_FOUND.into_response()),
            Err(status) => status.into_response(),
        }
    })
    .await
}

async fn swap(
    State(app): State<App>,
    Path(key): Path<String>,
    Json(body): Json<SwapBody>,
) -> Response {
    local(async move {
        app.0.stats.borrow_mut().swaps += 1;
        if let Err(status) = app.0.admit().await {
            return status.into_response();
        }
        if body.value.len() > VALUE_LIMIT_BYTES {
            return StatusCode::PAYLOAD_TOO_LARGE.into_response();
        }
        let response = app.0.write(&key, body);
        let is_lost = app.0.lost_answers.get() < app.0.faults.borrow().lose_answers;
        if is_lost && response.status().is_success() {
            app.0.lost_answers.set(app.0.lost_answers.get() + 1);
            compio::time::sleep(HANG_TIME.into()).await;
        }
        response
    })
    .await
}

async fn watch(
    State(app): State<App>,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    local(async move {
        app.0.stats.borrow_mut().watches += 1;
        let end = Millis::now() + Millis(query.wait_ms);
        loop {
            if let Err(status) = app.0.admit().await {
                return status.into_response();
            }
            let is_newer = app
                .0
                .values
                .borrow()
                .get(&key)
                .is_some_and(|(version, _)| *version > query.after);
            match app.0.entry(&key) {
                Some(entry) if is_newer => return entry,
                _ if Millis::now() >= end => return StatusCode::NO_CONTENT.into_response(),
                _ => compio::time::sleep(WATCH_POLL_INTERVAL.into()).await,
            }
        }
    })
    .await
}

async fn lease(
    State(app): State<App>,
    Path(key): Path<String>,
    Json(body): Json<LeaseBody>,
) -> Response {
    local(async move {
        if let Err(status) = app.0.admit().await {
            return status.into_response();
        }
        let now = Millis::now();
        let mut leases = app.0.leases.borrow_mut();
        let is_taken = leases
            .get(&key)
            .is_some_and(|(holder, end)| *holder != body.holder && *end > now);
        if is_taken {
            return StatusCode::CONFLICT.into_response();
        }
        leases.insert(key, (body.holder, now + Millis(body.ttl_ms)));
        StatusCode::OK.into_response()
    })
    .await
}

async fn set_faults(State(app): State<App>, Json(faults): Json<Faults>) -> StatusCode {
    app.0.lost_answers.set(0);
    *app.0.faults.borrow_mut() = faults;
    StatusCode::OK
}

/// Backs up all values, in place of an earlier backup.
async fn back_up(State(app): State<App>) -> StatusCode {
    *app.0.backup.borrow_mut() = app.0.values.borrow().clone();
    StatusCode::OK
}

/// Restores the backup; later writes are lost and their versions given out again.
async fn restore(State(app): State<App>) -> StatusCode {
    *app.0.values.borrow_mut() = app.0.backup.borrow().clone();
    app.0.epoch.set(app.0.epoch.get() + 1);
    StatusCode::OK
}

async fn with_epoch(State(app): State<App>, response: Response) -> Response {
    add_epoch(response, STORE_HEADER, app.0.epoch.get())
}

async fn stats(State(app): State<App>) -> Response {
    Json(app.0.stats.borrow().clone()).into_response()
}
