//! The HTTP calls of the store.

use std::rc::Rc;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::middleware::map_response_with_state;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use clock::Millis;
use serde::Deserialize;
use serde_json::{Value, json};
use transport::{Local, local};

use super::{Item, Lease, PlatformStore};
use crate::epoch::{PLATFORM_STORE_HEADER, add_epoch};

const PAGE_ITEMS: usize = 500;
const WATCH_POLL_INTERVAL: Millis = Millis(5);

#[derive(Clone)]
struct App(Local<Rc<PlatformStore>>);

/// Returns the store's routes.
pub fn router(store: &Rc<PlatformStore>) -> Router {
    let app = App(Local::new(store.clone()));
    Router::new()
        .route("/api/kv-range", get(range))
        .route("/api/kv-watch", get(watch))
        .route("/api/kv-txn", post(change))
        .route("/api/kv-lease", post(grant))
        .route("/api/kv-keep/{lease}", post(keep))
        .route("/api/kv-lease-end/{lease}", delete(end))
        .layer(map_response_with_state(app.clone(), with_epoch))
        .with_state(app)
}

async fn with_epoch(State(app): State<App>, response: Response) -> Response {
    add_epoch(response, PLATFORM_STORE_HEADER, app.0.epoch.get())
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

async fn range(State(app): State<App>, Query(query): Query<RangeQuery>) -> Response {
    if let Err(status) = app.0.admit() {
        return status.into_response();
    }
    let items = app.0.items.borrow();
    let matching = items
        .values()
        .filter(|i| i.key.starts_with(&query.prefix) && i.key > query.after);
    let mut page: Vec<&Item> = matching.take(PAGE_ITEMS + 1).collect();
    let is_truncated = page.len() > PAGE_ITEMS;
    page.truncate(PAGE_ITEMS);
    Json(json!({ "items": page, "truncated": is_truncated, "at": app.0.revision.get() }))
        .into_response()
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn watch(State(app): State<App>, Query(query): Query<WatchQuery>) -> Response {
    local(async move {
        let end = Millis::now() + Millis(query.wait_ms);
        let mut served = app.0.admit();
        loop {
            if let Err(status) = served {
                return status.into_response();
            }
            let Some(events) = app.0.events_after(&query.prefix, query.after) else {
                return StatusCode::GONE.into_response();
            };
            if !events.is_empty() || Millis::now() >= end {
                let at = app.0.revision.get();
                return Json(json!({ "events": events, "at": at })).into_response();
            }
            compio::time::sleep(WATCH_POLL_INTERVAL.into()).await;
            served = app.0.check();
        }
    })
    .await
}

#[derive(Deserialize)]
struct ChangeBody {
    writes: Vec<Write>,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

async fn change(State(app): State<App>, Json(body): Json<ChangeBody>) -> Response {
    if let Err(status) = app.0.admit() {
        return status.into_response();
    }
    let leases = app.0.leases.borrow().clone();
    let is_known = |w: &Write| w.lease == 0 || leases.contains_key(&w.lease);
    if !body.writes.iter().all(is_known) {
        return StatusCode::NOT_FOUND.into_response();
    }
    for write in body.writes {
        app.0.put(&write.key, &write.value, write.lease);
    }
    Json(json!({ "revision": app.0.revision.get() })).into_response()
}

async fn grant(State(app): State<App>, Json(body): Json<Value>) -> Response {
    if let Err(status) = app.0.admit() {
        return status.into_response();
    }
    let ttl = body["ttl-ms"].as_u64().unwrap_or(1_000);
    let lease = app.0.grant(Millis(ttl));
    Json(json!({ "lease": lease, "ttl-ms": ttl })).into_response()
}

async fn keep(State(app): State<App>, Path(lease): Path<u64>) -> Response {
    if let Err(status) = app.0.admit() {
        return status.into_response();
    }
    match app.0.leases.borrow_mut().get_mut(&lease) {
        Some(renewed) => {
            *renewed = Lease::new(renewed.ttl);
            Json(json!({ "ttl-ms": renewed.ttl })).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end(State(app): State<App>, Path(lease): Path<u64>) -> Response {
    if let Err(status) = app.0.admit() {
        return status.into_response();
    }
    match app.0.end_lease(lease) {
        true => StatusCode::OK.into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    }
}
