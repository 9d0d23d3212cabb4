//! The key-value store of the gateways' platform: items, history, watches and
//! leases. It can be made unavailable while it runs, and be restored from a backup.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use axum::http::StatusCode;
use clock::Millis;
use serde::{Serialize, Serializer};
use serde_json::{Value, json};

pub use routes::router;

mod routes;

#[derive(Clone, Debug)]
struct Item {
    key: String,
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
    /// Fields that are sent with other values, or what is sent in place of the item;
    /// null for neither.
    odd: Value,
}

impl Serialize for Item {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut sent = json!({
            "key": self.key, "value": self.value, "revision": self.revision,
            "created": self.created, "lease": self.lease,
        });
        match &self.odd {
            Value::Null => {}
            Value::Object(fields) => {
                for (name, value) in fields {
                    sent[name] = value.clone();
                }
            }
            other => sent = other.clone(),
        }
        sent.serialize(serializer)
    }
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
    /// Sent with every answer, and raised by one each time that the store is
    /// restored; 0 sends nothing.
    pub epoch: Cell<u64>,
    /// Whether every call is refused with status 503.
    pub is_down: Cell<bool>,
    /// Number of calls of any kind, refused ones included.
    pub calls: Cell<u64>,
}

/// A backup of the store's state.
pub struct Backup {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, Lease>,
    revision: u64,
}

impl PlatformStore {
    /// Returns an empty store.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Writes an item whose value is base64 text.
    pub fn put(&self, key: &str, value: &str, lease: u64) {
        self.insert(key, value, lease, Value::Null);
    }

    /// Writes an item that is sent with other fields than it has, or as another value if
    /// `odd` is no object.
    pub fn put_odd(&self, key: &str, odd: Value) {
        self.insert(key, "", 0, odd);
    }

    fn insert(&self, key: &str, value: &str, lease: u64, odd: Value) {
        let revision = self.next_revision();
        let mut items = self.items.borrow_mut();
        let created = items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            key: key.to_owned(),
            value: value.to_owned(),
            revision,
            created,
            lease,
            odd,
        };
        items.insert(key.to_owned(), item.clone());
        self.history.borrow_mut().push(Event::Put(item));
    }

    /// Returns the values, as base64 text, of all items whose keys start with a prefix.
    pub fn values(&self, prefix: &str) -> Vec<String> {
        let items = self.items.borrow();
        let matching = items.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(_, item)| item.value.clone()).collect()
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

    /// Returns a backup of the state.
    pub fn back_up(&self) -> Backup {
        Backup {
            items: self.items.borrow().clone(),
            history: self.history.borrow().clone(),
            leases: self.leases.borrow().clone(),
            revision: self.revision.get(),
        }
    }

    /// Restores a backup: later writes and leases are lost, and their revisions
    /// are given out again.
    pub fn restore(&self, backup: &Backup) {
        let renewed = |(lease, l): (&u64, &Lease)| (*lease, Lease::new(l.ttl));
        *self.items.borrow_mut() = backup.items.clone();
        *self.history.borrow_mut() = backup.history.clone();
        *self.leases.borrow_mut() = backup.leases.iter().map(renewed).collect();
        self.revision.set(backup.revision);
        self.epoch.set(self.epoch.get() + 1);
    }

    /// Returns a new lease.
    pub fn grant(&self, ttl: Millis) -> u64 {
        let lease = self.next_revision();
        self.leases.borrow_mut().insert(lease, Lease::new(ttl));
        lease
    }

    /// Returns whether a lease has not ended.
    pub fn is_live(&self, lease: u64) -> bool {
        self.leases.borrow().contains_key(&lease)
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.revision.get()
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
    /// holds all of them or has not reached the revision.
    fn events_after(&self, prefix: &str, after: u64) -> Option<Vec<Event>> {
        if after > self.revision.get() {
            return None;
        }
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
