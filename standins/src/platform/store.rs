//! The key-value store of the gateways' platform: items, history, watches and
//! leases. It can be made unavailable while it runs.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use clock::Millis;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use transport::{Local, local};

const PAGE_ITEMS: usize = 500;
const WATCH_POLL_INTERVAL: Millis = Millis(5);

/// An item as it is sent.
#[derive(Clone, Debug, Serialize)]
struct Item {
    key: String,
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
enum Event {
    Put(Item),
    Delete {
        key: String,
        revision: u64,
        deleted: bool,
    },
}

impl Event {
    fn key(&self) -> &str {
        match self {
            Event::Put(item) => &item.key,
            Event::Delete { key, .. } => key,
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Event::Put(item) => item.revision,
            Event::Delete { revision, .. } => *revision,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

impl Lease {
    fn new(ttl: Millis) -> Self {
        Self {
            ttl,
            expires_at: Millis::now() + ttl,
        }
    }
}

/// State of the store; tests write to it in place of operators and upstreams.
#[derive(Default)]
pub struct PlatformStore {
    items: RefCell<BTreeMap<String, Item>>,
    history: RefCell<Vec<Event>>,
    leases: RefCell<HashMap<u64, Lease>>,
    revision: Cell<u64>,
    /// Whether every call is refused with status 503.
    pub is_down: Cell<bool>,
    /// Number of calls of any kind, refused ones included.
    pub calls: Cell<u64>,
}

#[derive(Clone)]
struct App(Local<Rc<PlatformStore>>);

impl PlatformStore {
    /// Returns an empty store.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Writes an item whose value is base64 text.
    pub fn put(&self, key: &str, value: &str, lease: u64) {
        let revision = self.next_revision();
        let mut items = self.items.borrow_mut();
        let created = items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            key: key.to_owned(),
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        items.insert(key.to_owned(), item.clone());
        self.history.borrow_mut().push(Event::Put(item));
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_none() {
            return;
        }
        let event = Event::Delete {
            key: key.to_owned(),
            revision: self.next_revision(),
            deleted: true,
        };
        self.history.borrow_mut().push(event);
    }

    /// Deletes all items whose keys start with a prefix.
    pub fn delete_all(&self, prefix: &str) {
        let all: Vec<String> = self.items.borrow().keys().cloned().collect();
        all.iter()
            .filter(|key| key.starts_with(prefix))
            .for_each(|key| self.delete(key));
    }

    /// Drops the history, so that watches from an older revision get status 410.
    pub fn compact(&self) {
        self.history.borrow_mut().clear();
    }

    /// Returns whether any key starts with a prefix.
    pub fn has(&self, prefix: &str) -> bool {
        let items = self.items.borrow();
        items.keys().any(|key| key.starts_with(prefix))
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    /// Counts a call, and fails if calls are refused.
    fn admit(&self) -> Result<(), StatusCode> {
        self.calls.set(self.calls.get() + 1);
        self.check()
    }

    /// Ends expired leases, and fails if calls are refused.
    fn check(&self) -> Result<(), StatusCode> {
        self.end_expired_leases();
        match self.is_down.get() {
            true => Err(StatusCode::SERVICE_UNAVAILABLE),
            false => Ok(()),
        }
    }

    fn end_expired_leases(&self) {
        let now = Millis::now();
        let expired: Vec<u64> = {
            let leases = self.leases.borrow();
            let expired = leases.iter().filter(|(_, l)| l.expires_at <= now);
            expired.map(|(lease, _)| *lease).collect()
        };
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) -> bool {
        let keys: Vec<String> = {
            let items = self.items.borrow();
            let held = items.values().filter(|i| i.lease == lease);
            held.map(|i| i.key.clone()).collect()
        };
        keys.iter().for_each(|key| self.delete(key));
        self.leases.borrow_mut().remove(&lease).is_some()
    }

    /// Returns the events after a revision, or `None` if the history no longer
    /// holds all of them.
    fn events_after(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        let history = self.history.borrow();
        let oldest = history
            .first()
            .map_or(self.revision.get() + 1, Event::revision);
        if after + 1 < oldest {
            return None;
        }
        let newer = history
            .iter()
            .filter(|e| e.revision() > after && e.key().starts_with(prefix));
        Some(newer.cloned().collect())
    }
}

/// Returns the store's routes.
pub fn router(store: &Rc<PlatformStore>) -> Router {
    Router::new()
        .route("/api/kv-range", get(range))
        .route("/api/kv-watch", get(watch))
        .route("/api/kv-txn", post(change))
        .route("/api/kv-lease", post(grant))
        .route("/api/kv-keep/{lease}", post(keep))
        .route("/api/kv-lease-end/{lease}", delete(end))
        .with_state(App(Local::new(store.clone())))
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
    let lease = app.0.next_revision();
    let granted = Lease::new(Millis(ttl));
    app.0.leases.borrow_mut().insert(lease, granted);
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
