//! The form in which requests are handed over, and their answers.

use bytes::Bytes;
use clock::Millis;
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use transport::Payload;
use upstreams::{AttemptsMade, Ran};

use crate::refusal::Result;
use crate::routed_request::RoutedRequest;

/// Prefix of the path under which gateways accept requests of their peers; the path and
/// query of the caller follow.
const REQUESTS_PATH: &str = "/v1/requests";
/// Time that is left for the request, in milliseconds.
const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-time-left-ms");
/// In a request the lowest version of the configuration that may serve it, in its response
/// the version that did.
const VERSION_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-version");
/// Time that the request has spent before and that its answer needs on the way back, in
/// milliseconds; older daemons send none.
const ELAPSED_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-elapsed-ms");
/// The attempts that may have been made for the request, as JSON.
const ATTEMPTS_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-attempts");
/// Present if a gateway did not take the request; says why.
const UNSERVED_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-unserved");
/// Present in the response if no upstream ran the request and none will; older daemons
/// send none.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("coltsfootgw-not-run");

/// Returns the request for a gateway, with what it needs to serve it.
pub(super) fn peer_request(
    request: &RoutedRequest,
    version: u64,
    left: Millis,
    elapsed: Millis,
    attempts: &AttemptsMade,
) -> Request<Payload> {
    let forwarded = &request.forwarded;
    let mut message = Request::new(Payload::new(forwarded.body.clone()));
    *message.method_mut() = forwarded.method.clone();
    let path = forwarded.uri.path_and_query().map_or("/", |p| p.as_str());
    if let Ok(uri) = format!("{REQUESTS_PATH}{path}").parse() {
        *message.uri_mut() = uri;
    }
    *message.headers_mut() = forwarded.headers.clone();
    let headers = message.headers_mut();
    request.identity.write_key_digest(headers);
    headers.insert(TIME_LEFT_HEADER, left.0.into());
    headers.insert(VERSION_HEADER, version.into());
    headers.insert(ELAPSED_HEADER, elapsed.0.into());
    // The caller's own header of this name says nothing.
    headers.remove(ATTEMPTS_HEADER);
    let attempts = serde_json::to_string(attempts).unwrap_or_default();
    if let Ok(attempts) = HeaderValue::from_bytes(attempts.as_bytes()) {
        headers.insert(ATTEMPTS_HEADER, attempts);
    }
    message
}

/// What a gateway says of a request that it hands over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Handover {
    /// Time that is left for the request.
    pub(crate) time_left: Millis,
    /// Time that it has spent before.
    pub(crate) elapsed: Millis,
    /// Lowest version of the configuration that may serve it.
    pub(crate) version: u64,
    /// The attempts that it and others may have made; `None` if they can't be read.
    pub(crate) attempts: Option<AttemptsMade>,
}

/// Restores a caller's request that another gateway handed over; `None` if it is no
/// such request.
pub(crate) fn read_handover<B>(request: &mut http::Request<B>) -> Option<Handover> {
    let path = request.uri().path_and_query()?.as_str();
    let uri: Uri = path.strip_prefix(REQUESTS_PATH)?.parse().ok()?;
    *request.uri_mut() = uri;
    let headers = request.headers_mut();
    Some(Handover {
        time_left: Millis(take_number(headers, &TIME_LEFT_HEADER)?),
        elapsed: Millis(take_number(headers, &ELAPSED_HEADER).unwrap_or(0)),
        version: take_number(headers, &VERSION_HEADER)?,
        attempts: take_attempts(headers),
    })
}

fn take_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Tells the gateway that handed a request over which version served it, and whether the
/// request has run.
pub(crate) fn with_outcome<B>(mut response: Response<B>, version: u64, ran: Ran) -> Response<B> {
    let headers = response.headers_mut();
    headers.insert(VERSION_HEADER, version.into());
    if ran == Ran::No {
        headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    }
    response
}

/// Returns whether a request that was refused has run.
pub(crate) fn refusal_outcome<T>(result: &Result<T>) -> Ran {
    result
        .as_ref()
        .err()
        .map_or(Ran::Unknown, |refusal| refusal.ran)
}

/// What another gateway said of a request that it was handed.
pub(super) struct Outcome {
    /// Version of the configuration that served it.
    pub(super) version: u64,
    /// Whether the gateway did not take it.
    pub(super) is_unserved: bool,
    /// Whether it is known that no upstream ran it there.
    pub(super) is_not_run: bool,
}

/// Takes from a response what is meant for this daemon only.
pub(super) fn take_outcome(response: &mut Response<Bytes>) -> Outcome {
    let headers = response.headers_mut();
    Outcome {
        version: take_number(headers, &VERSION_HEADER).unwrap_or(0),
        is_unserved: headers.remove(&UNSERVED_HEADER).is_some(),
        is_not_run: headers.remove(&NOT_RUN_HEADER).is_some(),
    }
}

/// Reads the attempts; gateways that do not count them send none.
fn take_attempts(headers: &mut HeaderMap) -> Option<AttemptsMade> {
    match headers.remove(&ATTEMPTS_HEADER) {
        Some(value) => serde_json::from_slice(value.as_bytes()).ok(),
        None => Some(AttemptsMade::default()),
    }
}

/// Returns the answer of a gateway that does not take a request.
pub(crate) fn unserved(reason: &'static str) -> Response<Bytes> {
    let builder = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    let builder = builder.header(UNSERVED_HEADER, reason);
    builder.body(Bytes::new()).unwrap_or_default()
}
