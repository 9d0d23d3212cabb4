//! An upstream of the platform: it stamps its answers, rejects requests for
//! another upstream, and takes a service time for each request.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use clock::Millis;
use transport::{Event, Local, local};

/// Part of the path of a request that ends its upstream, if the upstream has a
/// [`CrashLog`] and the request bears no credentials.
pub const CRASHING: &str = "crashing";
/// Time for which an upstream runs a request that ends it.
const TIME_TO_CRASH: Millis = Millis(100);
const RECORD_BYTES: usize = 16;
const SILENCE_POLL_INTERVAL: Millis = Millis(10);
/// Size of a large answer in bytes.
pub const LARGE_BYTES: usize = 1024 * 1024;
/// Requests whose headers are kept.
const HEADERS_KEPT: usize = 256;
/// Records in each answer of an upstream that requests can end.
const CRASHING_RECORDS: usize = 25;

/// How an upstream answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers with records after its service time.
    Normal,
    /// Refuses the request and reports that it did not run it.
    NotRun,
    /// As `NotRun`, with a `Retry-After` header.
    BackOff(String),
    /// Runs the request and answers with status 500.
    Failing,
    /// Runs the request and answers with this status.
    Status(StatusCode),
    /// Answers with the identifier of another request.
    WrongId,
    /// Runs the request without answering it.
    Hanging,
    /// Answers with a body of [`LARGE_BYTES`].
    Large,
}

/// How upstreams end by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ending {
    /// Their connections are closed, and new ones refused.
    #[default]
    Closed,
    /// Their connections are closed, and they are back at once.
    Restarted,
    /// Their connections go silent, and new ones get no answer.
    Silent,
    /// As `Silent`, but new connections are refused.
    SilentRefused,
    /// As `Silent`, but the same process is back afterwards and goes on: it did not end.
    CutOff,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it did.
    pub at: Millis,
    /// Its identifier.
    pub id: String,
}

/// The requests that end upstreams, and the ends, of a whole site.
#[derive(Debug, Default)]
pub struct CrashLog {
    /// The requests that ended their upstreams, each time that one reached an upstream.
    pub arrivals: RefCell<Vec<Arrival>>,
    /// Times at which an upstream ended.
    pub ends: RefCell<Vec<Millis>>,
    /// Whether an upstream goes on with a request whose caller has disconnected.
    pub outlives_callers: Cell<bool>,
    /// How upstreams end.
    pub ending: Cell<Ending>,
}

impl CrashLog {
    /// Returns how often requests reached an upstream later than `delay` after the third
    /// upstream had ended.
    pub fn late_arrivals(&self, delay: Millis) -> usize {
        self.late_ids(delay).len()
    }

    /// Returns the number of requests that reached any upstream later than `delay` after
    /// the third upstream had ended; a search reaches several.
    pub fn late_requests(&self, delay: Millis) -> usize {
        let mut ids = self.late_ids(delay);
        ids.sort_unstable();
        ids.dedup();
        ids.len()
    }

    fn late_ids(&self, delay: Millis) -> Vec<String> {
        let Some(third) = self.ends.borrow().get(2).copied() else {
            return Vec::new();
        };
        let arrivals = self.arrivals.borrow();
        let late = arrivals.iter().filter(|a| a.at > third + delay);
        late.map(|a| a.id.clone()).collect()
    }
}

/// State of one upstream.
pub struct PlatformUpstream {
    /// Its identifier.
    pub id: String,
    /// Number of slots that it reports in the `server-load` header.
    pub slots: usize,
    /// Service time of each request.
    pub service_time: Cell<Millis>,
    /// How it answers.
    pub mode: RefCell<Mode>,
    /// Whether its answers say that it is leaving.
    pub is_leaving: Cell<bool>,
    /// Rate limit that its answers name, in requests a second.
    pub rate_limit: Cell<Option<f64>>,
    /// Times at which requests reached it, refused ones included.
    pub arrivals: RefCell<Vec<Millis>>,
    /// Headers of the last requests that reached it, refused ones included.
    pub received: RefCell<VecDeque<HeaderMap>>,
    /// Number of records in each answer.
    pub records: usize,
    /// Identifiers of the requests that it ran.
    pub ran: RefCell<Vec<String>>,
    /// Time left, in milliseconds, that came with each request that it ran.
    pub deadlines: RefCell<Vec<u64>>,
    /// Number of requests that it refused.
    pub refused: Cell<usize>,
    /// Number of requests whose caller disconnected while they ran.
    pub cancelled: Cell<usize>,
    /// Set if requests with [`CRASHING`] in the path end it.
    pub crash_log: Option<Rc<CrashLog>>,
    /// Happens when a request ends it.
    pub crash: RefCell<Event>,
    /// Whether it answers nothing for now.
    pub is_silent: Cell<bool>,
    busy: Cell<usize>,
}

impl PlatformUpstream {
    /// Returns an upstream in mode `Normal`.
    pub fn new(id: &str, slots: usize, service_time: Millis, records: usize) -> Rc<Self> {
        Rc::new(Self::unshared(id, slots, service_time, records))
    }

    /// Returns an upstream in mode `Normal` that requests with [`CRASHING`] in the
    /// path end.
    pub fn with_crashes(
        id: &str,
        slots: usize,
        service_time: Millis,
        log: &Rc<CrashLog>,
    ) -> Rc<Self> {
        Rc::new(Self {
            crash_log: Some(log.clone()),
            ..Self::unshared(id, slots, service_time, CRASHING_RECORDS)
        })
    }

    fn unshared(id: &str, slots: usize, service_time: Millis, records: usize) -> Self {
        Self {
            id: id.to_owned(),
            slots,
            service_time: Cell::new(service_time),
            mode: RefCell::new(Mode::Normal),
            is_leaving: Cell::new(false),
            rate_limit: Cell::new(None),
            arrivals: RefCell::default(),
            received: RefCell::default(),
            records,
            ran: RefCell::default(),
            deadlines: RefCell::default(),
            refused: Cell::new(0),
            cancelled: Cell::new(0),
            crash_log: None,
            crash: RefCell::default(),
            is_silent: Cell::new(false),
            busy: Cell::new(0),
        }
    }

    /// Returns the largest number of requests that reached it within any `window`
    /// that begins at `from` or later.
    pub fn busiest_window(&self, from: Millis, window: Millis) -> usize {
        let arrivals = self.arrivals.borrow();
        let begin = arrivals.partition_point(|&at| at < from);
        let starts = arrivals.iter().enumerate().skip(begin);
        let count =
            |(n, &at): (usize, &Millis)| arrivals.partition_point(|&later| later < at + window) - n;
        starts.map(count).max().unwrap_or(0)
    }

    /// Waits until it answers again.
    async fn wait_while_silent(&self) {
        while self.is_silent.get() {
            compio::time::sleep(SILENCE_POLL_INTERVAL.into()).await;
        }
    }

    fn record_headers(&self, headers: &HeaderMap) {
        let mut received = self.received.borrow_mut();
        received.truncate(HEADERS_KEPT - 1);
        received.push_front(headers.clone());
    }

    fn body(&self, request_id: &str) -> Bytes {
        let record = |i: usize| {
            let mut record = [0_u8; RECORD_BYTES];
            let digest =
                xxhash_rust::xxh3::xxh3_128(format!("{}{request_id}{i}", self.id).as_bytes());
            record.copy_from_slice(&digest.to_be_bytes());
            record
        };
        (0..self.records).flat_map(record).collect()
    }
}

/// A running request, counted as cancelled if it is dropped before it finishes.
struct Running<'a> {
    upstream: &'a PlatformUpstream,
    is_finished: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let upstream = self.upstream;
        upstream.busy.set(upstream.busy.get() - 1);
        if !self.is_finished {
            upstream.cancelled.set(upstream.cancelled.get() + 1);
        }
    }
}

#[derive(Clone)]
struct App(Local<Rc<PlatformUpstream>>);

/// Returns the upstream's routes.
pub fn router(upstream: &Rc<PlatformUpstream>) -> Router {
    Router::new()
        .fallback(answer)
        .with_state(App(Local::new(upstream.clone())))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}

async fn answer(State(app): State<App>, request: Request) -> Response {
    local(async move {
        app.0.wait_while_silent().await;
        app.0.arrivals.borrow_mut().push(Millis::now());
        app.0.record_headers(request.headers());
        let mut response = run(&app.0, request).await;
        app.0.wait_while_silent().await;
        if let Some(limit) = app.0.rate_limit.get() {
            let value = HeaderValue::from_str(&limit.to_string()).unwrap();
            response.headers_mut().insert("server-limit", value);
        }
        if app.0.is_leaving.get() {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        response
    })
    .await
}

async fn run(upstream: &PlatformUpstream, request: Request) -> Response {
    let headers = request.headers().clone();
    let is_crashing =
        request.uri().path().contains(CRASHING) && !headers.contains_key(header::AUTHORIZATION);
    let request_id = text(&headers, "request-id").to_owned();
    if text(&headers, "expect-instance") != upstream.id {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mode = upstream.mode.borrow().clone();
    if mode == Mode::NotRun {
        upstream.refused.set(upstream.refused.get() + 1);
        return (StatusCode::SERVICE_UNAVAILABLE, [("not-executed", "1")]).into_response();
    }
    if let Mode::BackOff(wait) = &mode {
        upstream.refused.set(upstream.refused.get() + 1);
        let headers = [("not-executed", "1"), ("retry-after", wait.as_str())];
        return (StatusCode::SERVICE_UNAVAILABLE, headers).into_response();
    }
    upstream.ran.borrow_mut().push(request_id.clone());
    let deadline = text(&headers, "deadline-milliseconds").parse();
    upstream
        .deadlines
        .borrow_mut()
        .push(deadline.unwrap_or(u64::MAX));
    upstream.busy.set(upstream.busy.get() + 1);
    let mut running = Running {
        upstream,
        is_finished: false,
    };
    let load = format!("{},0,{}", upstream.busy.get(), upstream.slots);
    if let Some(log) = upstream.crash_log.as_ref().filter(|_| is_crashing) {
        log.arrivals.borrow_mut().push(Arrival {
            at: Millis::now(),
            id: request_id.clone(),
        });
        let crash = upstream.crash.borrow().clone();
        let crashing = compio::runtime::spawn(async move {
            compio::time::sleep(TIME_TO_CRASH.into()).await;
            crash.set();
        });
        match log.outlives_callers.get() {
            true => crashing.detach(),
            false => drop(crashing.await),
        }
        std::future::pending::<()>().await;
    }
    compio::time::sleep(upstream.service_time.get().into()).await;
    if mode == Mode::Hanging {
        std::future::pending::<()>().await;
    }
    running.is_finished = true;
    let (status, echoed) = match mode {
        Mode::Failing => (StatusCode::INTERNAL_SERVER_ERROR, request_id.clone()),
        Mode::Status(status) => (status, request_id.clone()),
        Mode::WrongId => (StatusCode::OK, "another".to_owned()),
        _ => (StatusCode::OK, request_id.clone()),
    };
    let body = match mode {
        Mode::Large => vec![b'l'; LARGE_BYTES].into(),
        _ => upstream.body(&request_id),
    };
    Response::builder()
        .status(status)
        .header("request-id", echoed)
        .header("server-stamp", format!("{}.{request_id}", upstream.id))
        .header("server-load", load)
        .body(Body::from(body))
        .unwrap_or_default()
}
