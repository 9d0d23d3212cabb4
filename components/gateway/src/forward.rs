//! Forwards a request to its upstreams and builds the caller's response.

use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Response;
use routes::{Delivery, Gather, Target};
use slog::info;
use upstreams::{Answer, Failure, Pool, Ran, Reason, Shard, UpstreamKey};

use crate::gather::{Progress, Step, partial_answer_after};
use crate::merge::top_records;
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::{RoutedRequest, remove_hop_by_hop, with_retry_after};
use crate::state::Gateway;

/// Time after which another upstream of a service without one may have started.
const UPSTREAM_START_TIME: Millis = Millis(1_000);

/// Callers that wait for the end of a backoff are spread over this time.
const BACKOFF_SPREAD_MS: u64 = 500;

/// A service as one shard; all its upstreams are the replicas.
struct ServiceShard<'a>(&'a Pool);

impl Shard for ServiceShard<'_> {
    fn name(&self) -> &str {
        &self.0.name
    }

    fn replicas(&self) -> Vec<UpstreamKey> {
        self.0.keys()
    }
}

/// Serves a routed request, subject to quarantine and to the route's
/// concurrency limit.
pub(crate) async fn run(gateway: &Gateway, request: &RoutedRequest) -> Result<Response<Bytes>> {
    let (fingerprint, deadline) = (request.call.fingerprint, request.call.deadline);
    let shared = gateway.fleet.shared();
    let checked = shared.check_quarantine(fingerprint, deadline).await;
    checked.map_err(|failure| Refusal::from_failure(&failure))?;
    let route = &request.entry.route;
    let permit = gateway.limiters.admit(route).map_err(|wait| {
        let refusal = Refusal::not_run(Cause::Overloaded, "the limit of the route is reached");
        with_retry_after(refusal, wait, request.call.deadline)
    })?;
    let result = serve(gateway, request).await;
    let now = Millis::now();
    let served_after = result.is_ok().then(|| now.since(request.arrived));
    permit.finish(served_after, route, now);
    result
}

async fn serve(gateway: &Gateway, request: &RoutedRequest) -> Result<Response<Bytes>> {
    match &request.entry.route.target {
        Target::Service(service) => forward_to_service(gateway, request, service).await,
        Target::Split(services) => {
            let service = request.entry.splitter.next(services);
            let no_weight = || Refusal::not_run(Cause::NoUpstream, "no service has a weight");
            forward_to_service(gateway, request, service.ok_or_else(no_weight)?).await
        }
        Target::Gather(gather) => gather_shards(gateway, request, gather).await,
    }
}

/// Forwards a request to one upstream of a service.
async fn forward_to_service(
    gateway: &Gateway,
    request: &RoutedRequest,
    service: &str,
) -> Result<Response<Bytes>> {
    let no_upstream = || {
        let detail = format!("no upstream of {service} is known");
        let refusal = Refusal::not_run(Cause::NoUpstream, detail);
        with_retry_after(refusal, UPSTREAM_START_TIME, request.call.deadline)
    };
    let pool = gateway.fleet.pool(service).ok_or_else(no_upstream)?;
    let shard = ServiceShard(&pool);
    let result = match request.entry.route.delivery {
        Delivery::Idempotent => pool.fetch(&shard, &request.call).await,
        Delivery::AtMostOnce => pool.dispatch(&shard, &request.call).await,
    };
    match result {
        Ok(answer) => Ok(caller_response(answer)),
        Err(failure) => match request.forwarded.error_response.take() {
            Some(answer) if failure.ran != Ran::No => Ok(caller_response(answer)),
            _ => Err(to_refusal(request, &failure, &pool)),
        },
    }
}

fn caller_response(answer: Answer) -> Response<Bytes> {
    let (mut head, body) = answer.into_parts();
    head.headers = remove_hop_by_hop(head.headers);
    Response::from_parts(head, body)
}

fn to_refusal(request: &RoutedRequest, failure: &Failure, pool: &Pool) -> Refusal {
    let refusal = Refusal::from_failure(failure);
    match failure.ran {
        Ran::No if refusal.cause == Cause::Quarantined => refusal,
        Ran::No => with_expected_wait(refusal, &[Some(pool)], request.call.deadline),
        Ran::Yes | Ran::Unknown => refusal,
    }
}

/// The shards' results of a search so far.
struct ShardResults<'a> {
    gather: &'a Gather,
    answers: Vec<Answer>,
    covered: Vec<bool>,
    failures: Vec<(usize, Failure)>,
    is_overdue: bool,
}

impl ShardResults<'_> {
    fn progress(&self) -> Progress {
        Progress {
            total: self.gather.shards.len(),
            required: self.gather.required_shards(),
            covered: self.answers.len(),
            failed: self.failures.len(),
            is_overdue: self.is_overdue,
        }
    }

    fn add(&mut self, shard: usize, answer: Answer) {
        self.covered[shard] = true;
        self.answers.push(answer);
    }

    /// Lists the missing shards with their reasons, for the log and for refusals.
    fn missing_shards(&self) -> String {
        let reason = |shard: usize| {
            let failure = self.failures.iter().find(|(s, _)| *s == shard);
            failure.map_or("running", |(_, f)| f.reason.name())
        };
        let missing = (0..self.covered.len()).filter(|&s| !self.covered[s]);
        let reasons = missing.map(|s| format!("{}={}", self.gather.shards[s], reason(s)));
        reasons.collect::<Vec<_>>().join(" ")
    }

    /// Returns the failure of a search that was quarantined, with whether any shard
    /// may have run it.
    fn quarantine_failure(&self) -> Option<Failure> {
        let is_quarantined = |f: &&Failure| f.reason == Reason::Quarantined;
        let failures = self.failures.iter().map(|(_, failure)| failure);
        let quarantined = failures.clone().find(is_quarantined)?;
        let is_running = self.answers.len() + self.failures.len() < self.covered.len();
        let ran = match is_running {
            true => Ran::Unknown,
            false => self.ran(),
        };
        Some(Failure {
            ran,
            ..quarantined.clone()
        })
    }

    /// Returns whether any shard has or may have run the search.
    fn ran(&self) -> Ran {
        let failed = self.failures.iter().map(|(_, f)| f.ran).max();
        match self.answers.is_empty() {
            true => failed.unwrap_or(Ran::No),
            false => Ran::Yes,
        }
    }
}

/// Sends a search to one upstream of each shard and merges their responses.
async fn gather_shards(
    gateway: &Gateway,
    request: &RoutedRequest,
    gather: &Gather,
) -> Result<Response<Bytes>> {
    let pools: Vec<Option<Rc<Pool>>> = gather
        .shards
        .iter()
        .map(|s| gateway.fleet.pool(s))
        .collect();
    let mut results = ShardResults {
        gather,
        answers: Vec::with_capacity(pools.len()),
        covered: vec![false; pools.len()],
        failures: Vec::new(),
        is_overdue: false,
    };
    let mut running = FuturesUnordered::new();
    for (shard, pool) in pools.iter().enumerate() {
        match pool {
            Some(pool) => running.push(fetch(pool, request, shard)),
            None => {
                let failure = Failure::not_run(Reason::NoReplica);
                results.failures.push((shard, failure));
            }
        }
    }
    let overdue_at = request.arrived + partial_answer_after(request.entry.route.objective);
    let overdue_at = overdue_at.min(request.call.deadline);
    loop {
        match results.progress().next_step() {
            Step::Answer => break,
            Step::GiveUp => return Err(coverage_refusal(request, &results, &pools)),
            Step::Wait => {}
        }
        let until = match results.is_overdue {
            false => overdue_at,
            true => request.call.deadline,
        };
        let timer = compio::time::sleep(until.since(Millis::now()).into());
        match select(running.next(), std::pin::pin!(timer)).await {
            Either::Left((Some((shard, Ok(answer))), _)) => results.add(shard, answer),
            Either::Left((Some((shard, Err(failure))), _)) => {
                results.failures.push((shard, failure));
            }
            Either::Left((None, _)) => {}
            Either::Right(_) if !results.is_overdue => results.is_overdue = true,
            Either::Right(_) => return Err(coverage_refusal(request, &results, &pools)),
        }
    }
    let records = top_records(
        results.answers.iter().map(|a| a.body().as_ref()),
        gather.top_k,
    );
    let missing = gather.shards.len() - results.answers.len();
    if missing > 0 {
        gateway.fleet.shared().log_limiter.write(|| {
            info!(gateway.log, "partial answer"; "request_id" => &request.forwarded.id,
                "route" => &request.entry.route.name, "version" => request.version,
                "missing" => results.missing_shards(), "total" => gather.shards.len(),
                "elapsed_ms" => Millis::now().since(request.arrived).0,
                "store_age_ms" => gateway.follower.store_age(Millis::now()).0);
        });
    }
    Ok(gateway
        .wire
        .merged_response(&results.answers, missing, records))
}

async fn fetch(
    pool: &Rc<Pool>,
    request: &RoutedRequest,
    shard: usize,
) -> (usize, upstreams::Result<Answer>) {
    (shard, pool.fetch(&ServiceShard(pool), &request.call).await)
}

fn coverage_refusal(
    request: &RoutedRequest,
    results: &ShardResults<'_>,
    pools: &[Option<Rc<Pool>>],
) -> Refusal {
    let progress = results.progress();
    if let Some(failure) = results.quarantine_failure() {
        return Refusal::from_failure(&failure);
    }
    let detail = format!(
        "{} of {} shards answered, {} required; missing: {}",
        progress.covered,
        progress.total,
        progress.required,
        results.missing_shards()
    );
    let is_late = Millis::now() >= request.call.deadline;
    let refusal = Refusal {
        cause: match is_late {
            true => Cause::Timeout,
            false => Cause::Coverage,
        },
        // Sub-requests without an answer so far may have run.
        ran: match progress.covered + progress.failed < progress.total {
            true => Ran::Unknown,
            false => results.ran(),
        },
        detail,
        retry_after: None,
    };
    let pools: Vec<Option<&Pool>> = pools.iter().map(Option::as_deref).collect();
    with_expected_wait(refusal, &pools, request.call.deadline)
}

/// Tells the caller when to come back: when a slot is expected to be free in all
/// services, when an upstream may have started where none is left, or when one
/// takes requests again where all have asked this daemon to back off. Only the last
/// is known, so that it is told even if the caller has less time left.
fn with_expected_wait(refusal: Refusal, pools: &[Option<&Pool>], deadline: Millis) -> Refusal {
    let now = Millis::now();
    let known = pools.iter().flatten();
    let backoff = known.clone().filter_map(|p| p.shortest_backoff(now)).max();
    let wait = known.map(|p| expected_wait(p, now)).max();
    let refusal = with_retry_after(refusal, wait.unwrap_or(UPSTREAM_START_TIME), deadline);
    match backoff {
        Some(left) if left > Millis::ZERO => Refusal {
            retry_after: Some(left + Millis(rand::random_range(0..BACKOFF_SPREAD_MS))),
            ..refusal
        },
        _ => refusal,
    }
}

fn expected_wait(pool: &Pool, now: Millis) -> Millis {
    match pool.shortest_backoff(now) {
        Some(_) => Millis(pool.expected_wait(&pool.keys(), 1) as u64),
        None => UPSTREAM_START_TIME,
    }
}
