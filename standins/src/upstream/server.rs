//! HTTP interface of an upstream, with its control endpoints.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use clock::Millis;
use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::{Value, json};

use super::control::{Behaviour, Leaving, Mode};
use super::state::{Execution, Upstream};

const HANG_TIME: Duration = Duration::from_secs(600);
const CRASH_MARKER: &str = "crash-upstream";
const CRASH_DELAY: Millis = Millis(3);

type Answer = Response<Full<Bytes>>;

/// How an upstream is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the upstream.
    pub name: String,
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Initial behaviour.
    pub behaviour: Behaviour,
    /// Seed of its service times, combined with its name.
    pub seed: u64,
}

/// Starts an upstream in a task and returns its address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn start(options: Options) -> std::io::Result<SocketAddr> {
    let listener = transport::listen(options.address).await?;
    let address = listener.local_addr()?;
    let upstream = Upstream::new(&options.name, options.behaviour, options.seed);
    compio::runtime::spawn(accept(listener, upstream)).detach();
    Ok(address)
}

async fn accept(listener: TcpListener, upstream: Rc<Upstream>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let limit = upstream.behaviour.borrow().connections;
        let open = upstream.counts.borrow().open;
        if open < limit {
            compio::runtime::spawn(connection(stream, upstream.clone())).detach();
        }
    }
}

async fn connection(stream: TcpStream, upstream: Rc<Upstream>) {
    {
        let mut counts = upstream.counts.borrow_mut();
        counts.open += 1;
        counts.most_open = counts.most_open.max(counts.open);
    }
    let delay = upstream.behaviour.borrow().connect_ms;
    compio::time::sleep(Millis(delay).into()).await;
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let upstream = upstream.clone();
        async move { Ok::<_, std::convert::Infallible>(handle(upstream, request).await) }
    });
    let _ = http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    upstream.counts.borrow_mut().open -= 1;
}

async fn handle(upstream: Rc<Upstream>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/health") => health(&upstream),
        (&Method::GET, "/load") => json_answer(&json!({ "load": upstream.load() })),
        (&Method::GET, "/counts") => json_answer(&json!(*upstream.counts.borrow())),
        (&Method::GET, "/executions") => json_answer(&json!(*upstream.executions.borrow())),
        (&Method::POST, "/control") => control(&upstream, &body),
        (&Method::POST, "/search" | "/book") => run(upstream, &head.headers, body).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn health(upstream: &Upstream) -> Answer {
    let behaviour = upstream.behaviour.borrow();
    let state = match behaviour.leaving {
        Leaving::Health => "leaving",
        Leaving::No | Leaving::Header => &behaviour.health,
    };
    json_answer(&json!({ "state": state, "boot": upstream.boot, "holds": behaviour.holds }))
}

/// Changes the fields of the behaviour that the body contains.
fn control(upstream: &Upstream, body: &[u8]) -> Answer {
    let Ok(Value::Object(change)) = serde_json::from_slice(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut behaviour = json!(*upstream.behaviour.borrow());
    if let Value::Object(fields) = &mut behaviour {
        fields.extend(change);
    }
    match serde_json::from_value(behaviour) {
        Ok(changed) => {
            *upstream.behaviour.borrow_mut() = changed;
            status(StatusCode::OK)
        }
        Err(_) => status(StatusCode::BAD_REQUEST),
    }
}

async fn run(upstream: Rc<Upstream>, headers: &HeaderMap, body: Bytes) -> Answer {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned)
    };
    let execution = Execution {
        request_id: text("x-request-id").unwrap_or_default(),
        shard: text("x-shard").unwrap_or_default(),
        snapshot: text("x-snapshot"),
        partitioning: text("x-partitioning").unwrap_or_default(),
        key: text("idempotency-key"),
        body: String::from_utf8_lossy(&body).into_owned(),
        at_ms: Millis::wall().0,
    };
    let mode = upstream.behaviour.borrow().mode;
    if mode == Mode::Shedding {
        upstream.counts.borrow_mut().shed += 1;
        return not_run(&upstream, &execution, StatusCode::SERVICE_UNAVAILABLE);
    }
    if !is_held(&upstream, &execution) {
        upstream.counts.borrow_mut().not_held += 1;
        return not_run(&upstream, &execution, StatusCode::CONFLICT);
    }
    let Some(slot) = upstream.acquire().await else {
        return not_run(&upstream, &execution, StatusCode::SERVICE_UNAVAILABLE);
    };
    upstream.record(execution.clone());
    if execution.body.contains(CRASH_MARKER) {
        compio::time::sleep(CRASH_DELAY.into()).await;
        // The recorded executions are lost with the process, but its log is kept.
        println!("{}", json!({ "crashed_by": execution.request_id }));
        std::process::abort();
    }
    if mode == Mode::Hanging {
        compio::time::sleep(HANG_TIME).await;
    }
    compio::time::sleep(Duration::from_secs_f64(
        upstream.draw_service_ms() / 1_000.0,
    ))
    .await;
    slot.finish();
    drop(slot);
    answer(&upstream, &execution, mode)
}

fn answer(upstream: &Upstream, execution: &Execution, mode: Mode) -> Answer {
    let rows = format!(
        "[{{\"upstream\":{},\"shard\":{},\"partitioning\":{},\"snapshot\":{},\"query\":{}}}]",
        json!(upstream.name),
        json!(execution.shard),
        json!(execution.partitioning),
        json!(execution.snapshot),
        execution.body
    );
    let current = (execution.request_id.clone(), execution.shard.clone(), rows);
    let previous = upstream.previous.replace(Some(current.clone()));
    let (id, shard, rows) = match mode {
        Mode::Crossed => previous.unwrap_or(current),
        _ => current,
    };
    let code = if mode == Mode::Failing {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    let mut builder = response_builder(upstream, &id, &shard, execution)
        .status(code)
        .header("x-ran", "yes");
    if upstream.behaviour.borrow().leaving == Leaving::Header {
        builder = builder.header("x-leaving", "1");
    }
    builder.body(Full::new(rows.into())).unwrap_or_default()
}

fn response_builder(
    upstream: &Upstream,
    id: &str,
    shard: &str,
    execution: &Execution,
) -> http::response::Builder {
    let snapshot = execution.snapshot.clone().unwrap_or_default();
    Response::builder()
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .header("x-shard", shard)
        .header("x-partitioning", &execution.partitioning)
        .header("x-snapshot", snapshot)
        .header("x-boot", &upstream.boot)
        .header("x-load", format!("{:.2}", upstream.load()))
        .header("x-holds", format_holds(upstream))
}

/// Formats the held snapshots for the `x-holds` header of answers.
fn format_holds(upstream: &Upstream) -> String {
    let behaviour = upstream.behaviour.borrow();
    let held = behaviour.holds.as_array().into_iter().flatten();
    let item = |h: &Value| {
        format!(
            "{}@{}",
            h["partitioning"].as_str().unwrap_or_default(),
            h["snapshot"]
        )
    };
    held.map(item).collect::<Vec<_>>().join(",")
}

fn not_run(upstream: &Upstream, execution: &Execution, code: StatusCode) -> Answer {
    let builder = response_builder(upstream, &execution.request_id, &execution.shard, execution);
    builder
        .status(code)
        .header("x-ran", "no")
        .body(Full::default())
        .unwrap_or_default()
}

/// Returns whether the snapshot of a request is held; bookings have none.
fn is_held(upstream: &Upstream, execution: &Execution) -> bool {
    let Some(snapshot) = &execution.snapshot else {
        return true;
    };
    let behaviour = upstream.behaviour.borrow();
    let is_same = |held: &Value| {
        held["partitioning"] == execution.partitioning.as_str()
            && held["snapshot"].as_u64() == snapshot.parse().ok()
    };
    behaviour
        .holds
        .as_array()
        .is_some_and(|list| list.iter().any(is_same))
}

fn status(code: StatusCode) -> Answer {
    Response::builder()
        .status(code)
        .body(Full::default())
        .unwrap_or_default()
}

fn json_answer(value: &Value) -> Answer {
    Response::builder()
        .header("content-type", "application/json")
        .body(Full::new(value.to_string().into()))
        .unwrap_or_default()
}
