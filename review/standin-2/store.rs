//! The platform's metadata store (PROTOCOL.md, "The platform's metadata store").

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, response};
use crate::json::{Json, parse, quote};

/// `history-s` of the small site.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Revision, key, the item unless it was deleted, and when that was.
    history: VecDeque<(u64, String, Option<Item>, Instant)>,
    /// Watches after an earlier revision than this get 410.
    kept_after: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    revision: u64,
    calls: u64,
    /// By listener: whether the watch that waits now, or else the next one that does, is
    /// to be cut.
    cuts_due: Vec<bool>,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push_back((revision, key.to_owned(), Some(item), Instant::now()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history
                .push_back((self.revision, key.to_owned(), None, Instant::now()));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let held = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let is_old = |at: &Instant| now.duration_since(*at) > HISTORY;
        while self.history.front().is_some_and(|(_, _, _, at)| is_old(at)) {
            let dropped = self.history.pop_front();
            self.kept_after = dropped.map_or(self.kept_after, |(revision, ..)| revision);
        }
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.into_iter().for_each(|lease| {
            self.end_lease(lease);
        });
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    page_items: usize,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store that lists at most so many items in a page.
    pub fn start(page_items: usize) -> Self {
        let shared = Arc::new(Shared {
            page_items,
            ..Shared::default()
        });
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut store = Self { shared, address };
        store.address = store.listen();
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.change(State::expire);
            }
        });
        store
    }

    /// Serves at one more address, so that a daemon can be told from the others.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let door = {
            let mut state = self.shared.state.lock().unwrap();
            state.cuts_due.push(false);
            state.cuts_due.len() - 1
        };
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream, door)));
            }
        });
        address
    }

    /// Cuts at each address the watch that waits, or else the next one that does.
    pub fn cut_watches(&self) {
        self.shared.state.lock().unwrap().cuts_due.fill(true);
        self.shared.changed.notify_all();
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.shared.state.lock().unwrap();
        let before = state.revision;
        let result = change(&mut state);
        if state.revision > before {
            self.shared.changed.notify_all();
        }
        result
    }

    /// Writes an item; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.change(|s| s.put(key, &base64(value), 0));
    }

    pub fn remove(&self, key: &str) {
        self.change(|s| s.remove(key));
    }

    /// Discards the history so far.
    pub fn compact(&self) {
        self.change(|s| {
            s.history.clear();
            s.kept_after = s.revision;
        });
    }

    /// Returns the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.state.lock().unwrap();
        state
            .items
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn calls(&self) -> u64 {
        self.shared.state.lock().unwrap().calls
    }

    fn serve(&self, stream: TcpStream, door: usize) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            thread::sleep(Duration::from_millis(2));
            let Some((status, body)) = self.answer(&request, door) else {
                return Ok(());
            };
            let json = [("Content-Type", "application/json")];
            writer.write_all(&response(status, &json, body.as_bytes()))?;
        }
        Ok(())
    }

    /// Answers a call; `None` if the connection is cut instead.
    fn answer(&self, request: &Request, door: usize) -> Option<(u16, String)> {
        self.change(|s| s.calls += 1);
        if request.method == "GET" && request.path() == "/api/kv-watch" {
            return self.watch(request, door);
        }
        Some(self.answer_at_once(request))
    }

    fn answer_at_once(&self, request: &Request) -> (u16, String) {
        let path = request.path().to_owned();
        let number = path
            .rsplit('/')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/api/kv-range") => self.range(request),
            ("POST", "/api/kv-txn") => self.txn(&parse(&request.body)),
            ("POST", "/api/kv-lease") => {
                let ttl = parse(&request.body).get("ttl-ms").number() as u64;
                let span = Duration::from_millis(ttl);
                let lease = self.change(|s| {
                    let lease = 1_000 + s.leases.len() as u64 + s.revision * 100;
                    s.leases.insert(lease, (span, Instant::now() + span));
                    s.revision += 1;
                    lease
                });
                (200, format!("{{\"lease\":{lease},\"ttl-ms\":{ttl}}}"))
            }
            ("POST", p) if p.starts_with("/api/kv-keep/") => {
                self.change(|s| match s.leases.get_mut(&number) {
                    Some((span, end)) => {
                        *end = Instant::now() + *span;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", p) if p.starts_with("/api/kv-lease-end/") => {
                match self.change(|s| s.end_lease(number)) {
                    true => (200, "{}".to_owned()),
                    false => (404, "{}".to_owned()),
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let (prefix, after) = (request.query("prefix"), request.query("after"));
        let state = self.shared.state.lock().unwrap();
        let matching = state.items.iter();
        let matching =
            matching.filter(|(k, _)| k.starts_with(&prefix) && k.as_str() > after.as_str());
        let all: Vec<String> = matching.map(|(k, i)| item(k, i)).collect();
        let shown = all.len().min(self.shared.page_items);
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{},\"at\":{}}}",
            all[..shown].join(","),
            shown < all.len(),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request, door: usize) -> Option<(u16, String)> {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.state.lock().unwrap();
        loop {
            if after < state.kept_after {
                return Some((410, "{}".to_owned()));
            }
            let newer = state
                .history
                .iter()
                .filter(|(r, k, _, _)| *r > after && k.starts_with(&prefix));
            let events: Vec<String> = newer
                .map(|(revision, key, written, _)| match written {
                    Some(written) => item(key, written),
                    None => format!(
                        "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((200, body));
            }
            if std::mem::take(&mut state.cuts_due[door]) {
                return None;
            }
            state = self.shared.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Json) -> (u16, String) {
        self.change(|s| {
            let current = |key: &str| s.items.get(key).map_or(0, |i| i.revision);
            let mut expected = body.get("expected-revision").list().iter();
            if !expected.all(|e| current(e.get("key").text()) == e.get("revision").number() as u64)
            {
                return (412, "{\"items\":[]}".to_owned());
            }
            let lease = |w: &Json| w.get("lease").number() as u64;
            let writes = body.get("writes").list();
            if writes
                .iter()
                .any(|w| lease(w) != 0 && !s.leases.contains_key(&lease(w)))
            {
                return (404, "{}".to_owned());
            }
            let is_own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
            if !writes.iter().all(|w| is_own(w.get("key").text())) {
                return (403, "{}".to_owned());
            }
            for write in writes {
                s.put(
                    write.get("key").text(),
                    write.get("value").text(),
                    lease(write),
                );
            }
            for key in body.get("remove").list() {
                s.remove(key.text());
            }
            (200, format!("{{\"revision\":{}}}", s.revision))
        })
    }
}

fn item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for at in 0..3 {
            group = group << 8 | u32::from(chunk.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
