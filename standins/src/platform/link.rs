//! Links between some daemons and the upstreams of a site, which a test can cut: the
//! daemons' store tells them the addresses of forwarders in place of the upstreams'.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use axum::body::{Body, to_bytes};
use axum::extract::State;
use axum::middleware::map_response_with_state;
use axum::response::Response;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::select;
use http::header;
use serde_json::Value;
use transport::{Event, Listener, Local, ServerLimits, local, serve};

use super::full_queue::FullQueue;
use super::site::Site;
use super::store;

/// State of the links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Connections work.
    Up,
    /// Nothing passes, and new connections get no answer.
    Hanging,
    /// Requests pass on open connections, but no answers, and new connections get none.
    AnswersHanging,
    /// All connections are closed and new ones refused.
    Closed,
    /// Open connections work, new ones are refused.
    NewRefused,
}

impl LinkState {
    /// Whether new connections get no answer.
    fn is_hanging(self) -> bool {
        matches!(self, LinkState::Hanging | LinkState::AnswersHanging)
    }
}

/// Direction in which bytes pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Direction {
    fn is_held(self, state: LinkState) -> bool {
        match self {
            Direction::Request => state == LinkState::Hanging,
            Direction::Answer => state.is_hanging(),
        }
    }
}

const LARGEST_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
const BUFFER_BYTES: usize = 64 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time within which all forwarders follow a change.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// The links of some daemons to all upstreams of a site.
pub struct Links {
    /// Address of the store as these daemons see it.
    pub store_address: SocketAddr,
    state: Rc<Cell<LinkState>>,
}

impl Links {
    /// Starts forwarders to all upstreams and a view of the store with their addresses.
    ///
    /// # Panics
    ///
    /// Panics if no port of loopback is free.
    pub async fn start(site: &Site) -> Self {
        let state = Rc::new(Cell::new(LinkState::Up));
        let mut addresses = HashMap::new();
        for upstream in site.addresses() {
            let listener = listen_at(SocketAddr::from(([127, 0, 0, 1], 0))).await;
            let address = listener.local_addr().expect("the listener is bound");
            addresses.insert(upstream.to_string(), address.to_string());
            let forwarder = Forwarder {
                address,
                upstream,
                state: state.clone(),
            };
            compio::runtime::spawn(forwarder.run(listener)).detach();
        }
        let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = listener.await.expect("loopback ports are free");
        let store_address = listener.address;
        let app = Rewrites(Local::new(Rc::new(addresses)));
        let router = store::router(&site.store).layer(map_response_with_state(app, rewrite));
        let limits = ServerLimits::default();
        let serving = serve(listener, router, limits, Event::default(), Rc::default());
        compio::runtime::spawn(serving).detach();
        Self {
            store_address,
            state,
        }
    }

    /// Changes the state of all links and waits until it is in force.
    pub async fn set(&self, state: LinkState) {
        self.state.set(state);
        compio::time::sleep(SETTLE_TIME).await;
    }
}

async fn listen_at(address: SocketAddr) -> TcpListener {
    transport::listen(address)
        .await
        .expect("loopback ports are free")
}

#[derive(Clone)]
struct Rewrites(Local<Rc<HashMap<String, String>>>);

/// Replaces the addresses of upstreams in the records of a response.
async fn rewrite(State(rewrites): State<Rewrites>, response: Response) -> Response {
    local(async move {
        let (mut head, body) = response.into_parts();
        let body = to_bytes(body, LARGEST_RESPONSE_BYTES).await;
        let body = body.expect("the store answers");
        let Ok(mut answer) = serde_json::from_slice::<Value>(&body) else {
            return Response::from_parts(head, Body::from(body));
        };
        for list in ["items", "events"] {
            let records = answer[list].as_array_mut().into_iter().flatten();
            records.for_each(|record| rewrite_record(record, &rewrites.0));
        }
        head.headers.remove(header::CONTENT_LENGTH);
        Response::from_parts(head, Body::from(answer.to_string()))
    })
    .await
}

fn rewrite_record(record: &mut Value, rewrites: &HashMap<String, String>) {
    let value = record["value"]
        .as_str()
        .and_then(|v| STANDARD.decode(v).ok());
    let entry = value.and_then(|v| serde_json::from_slice::<Value>(&v).ok());
    let Some(mut entry) = entry else {
        return;
    };
    let address = entry["address"].as_str().and_then(|a| rewrites.get(a));
    if let Some(address) = address {
        entry["address"] = Value::from(address.as_str());
        record["value"] = Value::from(STANDARD.encode(entry.to_string()));
    }
}

/// Forwards connections to one upstream.
struct Forwarder {
    address: SocketAddr,
    upstream: SocketAddr,
    state: Rc<Cell<LinkState>>,
}

impl Forwarder {
    async fn run(self, mut listener: TcpListener) {
        loop {
            match self.state.get() {
                LinkState::Up => self.accept(&listener).await,
                state if state.is_hanging() => {
                    let full = FullQueue::fill(&listener, self.address);
                    self.wait_while(state).await;
                    full.empty(&listener);
                }
                state => {
                    drop(listener);
                    self.wait_while(state).await;
                    listener = listen_at(self.address).await;
                }
            }
        }
    }

    async fn wait_while(&self, state: LinkState) {
        while self.state.get() == state {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        let accepting = compio::time::timeout(POLL_INTERVAL, listener.accept());
        let Ok(Ok((caller, _))) = accepting.await else {
            return;
        };
        let (upstream, state) = (self.upstream, self.state.clone());
        compio::runtime::spawn(async move {
            let Ok(callee) = TcpStream::connect(upstream).await else {
                return;
            };
            let there = std::pin::pin!(copy(
                caller.clone(),
                callee.clone(),
                state.clone(),
                Direction::Request
            ));
            let back = std::pin::pin!(copy(callee, caller, state.clone(), Direction::Answer));
            let copying = select(there, back);
            let closed = std::pin::pin!(async move {
                while state.get() != LinkState::Closed {
                    compio::time::sleep(POLL_INTERVAL).await;
                }
            });
            select(copying, closed).await;
        })
        .detach();
    }
}

/// Copies bytes until the connection ends; holds them while the links hang.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: Rc<Cell<LinkState>>,
    direction: Direction,
) {
    loop {
        let BufResult(read, mut buffer) = from.read(Vec::with_capacity(BUFFER_BYTES)).await;
        let Ok(count @ 1..) = read else {
            return;
        };
        while direction.is_held(state.get()) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        buffer.truncate(count);
        if to.write_all(buffer).await.0.is_err() {
            return;
        }
    }
}
