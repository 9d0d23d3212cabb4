//! Open-loop load: requests are sent at their due times without waiting for
//! earlier answers, and latency is measured from the due time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::{Answer, JsonClient};

const MAX_LATENCY_MICROS: u64 = 120_000_000;
const MICROS_PER_MS: f64 = 1_000.0;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Addresses of the daemons for callers, used in turn.
    pub callers: Vec<SocketAddr>,
    /// The services, used in turn.
    pub services: Vec<String>,
    /// Requests per second.
    pub rate: f64,
    /// Length of the load.
    pub duration: Duration,
    /// Deadline sent in the header of each request; without it the service's
    /// deadline applies.
    pub deadline_ms: Option<u64>,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Results of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of requests that were sent.
    pub sent: u64,
    /// Answers with status 200, which carry rows.
    pub answered: u64,
    /// Answers that cover every shard.
    pub complete: u64,
    /// Covered shards, summed over all answers; a refusal adds none.
    pub covered: u64,
    /// Requested shards, summed over all answers; a refusal adds as many as the
    /// last answer, or 1 before the first.
    pub asked: u64,
    /// Refusals and failures by reason.
    pub refused: BTreeMap<String, u64>,
    /// Refusals and failures that took longer than 5 ms.
    pub slow_refusals: u64,
    /// Median latency of answers with rows, in milliseconds.
    pub p50: f64,
    /// 99th percentile of that latency, in milliseconds.
    pub p99: f64,
    /// 99.9th percentile of that latency, in milliseconds.
    pub p999: f64,
    /// Maximum of that latency, in milliseconds.
    pub max: f64,
    /// Quantiles of that latency for a graph, with the latency in milliseconds.
    pub curve: Vec<(f64, f64)>,
    /// Number of requests that were due in each 100 ms interval, and how many of
    /// them were answered completely.
    pub timeline: Vec<(u64, u64)>,
    /// 99th percentile of the time to a refusal or failure, in milliseconds.
    pub refusal_p99: f64,
}

struct Tally {
    latencies: Histogram<u64>,
    refusals: Histogram<u64>,
    report: Report,
    last_shards: u64,
}

const EMPTY_REPORT: Report = Report {
    sent: 0,
    answered: 0,
    complete: 0,
    covered: 0,
    asked: 0,
    refused: BTreeMap::new(),
    slow_refusals: 0,
    p50: 0.0,
    p99: 0.0,
    p999: 0.0,
    max: 0.0,
    curve: Vec::new(),
    timeline: Vec::new(),
    refusal_p99: 0.0,
};
pub(crate) const TIMELINE_INTERVAL_MS: u64 = 100;
const FAST_REFUSAL_MICROS: u64 = 5_000;
const CURVE_QUANTILES: [f64; 16] = [
    0.0, 0.1, 0.25, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95, 0.97, 0.98, 0.99, 0.995, 0.999, 0.9999, 1.0,
];

/// Sends the load and waits for the last answer.
///
/// # Panics
///
/// Panics if there are no callers or no services.
pub async fn run(load: &Load) -> Report {
    let histogram =
        || Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("the bounds are in range");
    let tally = Rc::new(RefCell::new(Tally {
        latencies: histogram(),
        refusals: histogram(),
        report: EMPTY_REPORT,
        last_shards: 1,
    }));
    let clients: Vec<Rc<JsonClient>> = load
        .callers
        .iter()
        .map(|a| Rc::new(JsonClient::new(*a)))
        .collect();
    let mut rng = StdRng::seed_from_u64(load.seed);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut number = 0_usize;
    while due < load.duration {
        compio::time::sleep_until(start + due).await;
        let client = clients[number % clients.len()].clone();
        let service = &load.services[(number / clients.len()) % load.services.len()];
        let path = format!("/v1/services/{service}/search");
        let (tally, deadline) = (tally.clone(), load.deadline_ms);
        let at = start + due;
        tasks.push(compio::runtime::spawn(async move {
            let answer = search(&client, &path, number, deadline).await;
            tally.borrow_mut().record(answer, at - start, at.elapsed());
        }));
        number += 1;
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate;
        due += Duration::from_secs_f64(gap);
    }
    join_all(tasks).await;
    let tally = tally.borrow();
    tally.finish(number as u64)
}

async fn search(
    client: &JsonClient,
    path: &str,
    number: usize,
    deadline: Option<u64>,
) -> Option<Answer> {
    let body = json!({ "query": { "n": number } }).to_string();
    let deadline = deadline.map(|ms| ms.to_string());
    let headers: Vec<(&str, &str)> = deadline
        .iter()
        .map(|ms| ("x-deadline-ms", ms.as_str()))
        .collect();
    client.send("POST", path, &headers, body.into()).await.ok()
}

impl Tally {
    fn record_due(&mut self, due: Duration, is_complete: bool) {
        let at = due.as_millis() as usize / TIMELINE_INTERVAL_MS as usize;
        let timeline = &mut self.report.timeline;
        if timeline.len() <= at {
            timeline.resize(at + 1, (0, 0));
        }
        timeline[at].0 += 1;
        timeline[at].1 += u64::from(is_complete);
    }

    fn record(&mut self, answer: Option<Answer>, due: Duration, elapsed: Duration) {
        let is_complete = answer.as_ref().is_some_and(|a| a.body["complete"] == true);
        self.record_due(due, is_complete);
        let micros = elapsed.as_micros() as u64;
        let report = &mut self.report;
        match answer {
            Some(answer) if answer.status == StatusCode::OK => {
                let count = |name: &str| answer.body[name].as_array().map_or(0, Vec::len) as u64;
                let (covered, missing) = (count("covered"), count("missing"));
                self.last_shards = covered + missing;
                report.answered += 1;
                report.complete += u64::from(missing == 0);
                report.covered += covered;
                report.asked += covered + missing;
                self.latencies.saturating_record(micros);
            }
            other => {
                let reason = other.as_ref().map_or("no answer", |a| {
                    a.body["title"].as_str().unwrap_or("unknown")
                });
                *report.refused.entry(reason.to_owned()).or_default() += 1;
                report.asked += self.last_shards;
                report.slow_refusals += u64::from(micros > FAST_REFUSAL_MICROS);
                self.refusals.saturating_record(micros);
            }
        }
    }

    fn finish(&self, sent: u64) -> Report {
        let ms = |q: f64| self.latencies.value_at_quantile(q) as f64 / MICROS_PER_MS;
        Report {
            sent,
            p50: ms(0.5),
            p99: ms(0.99),
            p999: ms(0.999),
            max: ms(1.0),
            curve: CURVE_QUANTILES.iter().map(|&q| (q, ms(q))).collect(),
            refusal_p99: self.refusals.value_at_quantile(0.99) as f64 / MICROS_PER_MS,
            ..self.report.clone()
        }
    }
}

impl Report {
    /// Returns the report as JSON, without curve and timeline.
    pub fn summary(&self) -> Value {
        let mut value = json!(self);
        if let Value::Object(fields) = &mut value {
            fields.remove("curve");
            fields.remove("timeline");
        }
        value
    }
}
