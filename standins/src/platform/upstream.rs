//! An upstream of the platform: it stamps its answers, rejects requests for
//! another upstream, and takes a service time for each request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use clock::Millis;
use transport::{Local, local};

const RECORD_BYTES: usize = 16;

/// How an upstream answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers with records after its service time.
    Normal,
    /// Refuses the request and reports that it did not run it.
    NotRun,
    /// Runs the request and answers with status 500.
    Failing,
    /// Answers with the identifier of another request.
    WrongId,
    /// Runs the request without answering it.
    Hanging,
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
    busy: Cell<usize>,
}

impl PlatformUpstream {
    /// Returns an upstream in mode `Normal`.
    pub fn new(id: &str, slots: usize, service_time: Millis, records: usize) -> Rc<Self> {
        Rc::new(Self {
            id: id.to_owned(),
            slots,
            service_time: Cell::new(service_time),
            mode: RefCell::new(Mode::Normal),
            records,
            ran: RefCell::default(),
            deadlines: RefCell::default(),
            refused: Cell::new(0),
            cancelled: Cell::new(0),
            busy: Cell::new(0),
        })
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
        let upstream = &app.0;
        let headers = request.headers().clone();
        let request_id = text(&headers, "request-id").to_owned();
        if text(&headers, "expect-instance") != upstream.id {
            return StatusCode::MISDIRECTED_REQUEST.into_response();
        }
        let mode = upstream.mode.borrow().clone();
        if mode == Mode::NotRun {
            upstream.refused.set(upstream.refused.get() + 1);
            return (StatusCode::SERVICE_UNAVAILABLE, [("not-executed", "1")]).into_response();
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
        compio::time::sleep(upstream.service_time.get().into()).await;
        if mode == Mode::Hanging {
            std::future::pending::<()>().await;
        }
        running.is_finished = true;
        let (status, echoed) = match mode {
            Mode::Failing => (StatusCode::INTERNAL_SERVER_ERROR, request_id.clone()),
            Mode::WrongId => (StatusCode::OK, "another".to_owned()),
            _ => (StatusCode::OK, request_id.clone()),
        };
        Response::builder()
            .status(status)
            .header("request-id", echoed)
            .header("server-stamp", format!("{}.{request_id}", upstream.id))
            .header("server-load", load)
            .body(Body::from(upstream.body(&request_id)))
            .unwrap_or_default()
    })
    .await
}
