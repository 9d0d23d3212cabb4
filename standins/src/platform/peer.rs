//! Gateways that others hand requests to, each with a version of the configuration.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde_json::json;
use transport::{Event, Listener, Local, ServerLimits, local, serve};

use super::site::{Site, put};

/// A gateway that answers each request with the version that it has in force.
#[derive(Clone)]
struct Peer {
    version: u64,
    status: StatusCode,
    answers: Local<Rc<Cell<usize>>>,
}

fn number(headers: &HeaderMap, name: &str) -> u64 {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

async fn answer(State(peer): State<Peer>, request: Request) -> Response {
    local(async move {
        let is_handover = request.uri().path().starts_with("/v1/requests");
        match number(request.headers(), "coltsfootgw-version") {
            _ if !is_handover => StatusCode::NOT_FOUND.into_response(),
            asked if asked > peer.version => {
                let headers = [("coltsfootgw-unserved", "older configuration")];
                (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
            }
            _ => {
                peer.answers.set(peer.answers.get() + 1);
                let headers = [("coltsfootgw-version", peer.version.to_string())];
                (peer.status, headers, peer.version.to_string()).into_response()
            }
        }
    })
    .await
}

/// Starts a peer and registers it; returns the count of its answers.
///
/// # Panics
///
/// Panics if no port can be bound.
pub async fn start_peer(site: &Site, version: u64) -> Rc<Cell<usize>> {
    start_peer_answering(site, version, StatusCode::OK).await
}

/// Starts a peer as [`start_peer`] does, which answers with a status.
///
/// # Panics
///
/// Panics if no port can be bound.
pub async fn start_peer_answering(
    site: &Site,
    version: u64,
    status: StatusCode,
) -> Rc<Cell<usize>> {
    let answers = Rc::new(Cell::new(0));
    let peer = Peer {
        version,
        status,
        answers: Local::new(answers.clone()),
    };
    let router = Router::new().fallback(answer).with_state(peer);
    let listener = Listener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let name = format!("peer-{version}");
    let entry = json!({ "name": name, "address": listener.address, "domain": "elsewhere" });
    put(
        &site.store,
        &format!("coltsfootgw/instances/{name}"),
        &entry,
    );
    let limits = ServerLimits::default();
    let serving = serve(listener, router, limits, Event::default(), Rc::default());
    compio::runtime::spawn(serving).detach();
    answers
}
