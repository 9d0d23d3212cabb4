//! Sends a request to its upstreams and returns the caller's answer.

use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Response;
use routes::{Gather, Repeat, Target};
use slog::info;
use upstreams::{Answer, Failure, Pool, Ran, Shard, UpstreamKey};

use crate::gather::{Progress, Step, answer_within};
use crate::job::{Job, end_to_end, with_retry_after};
use crate::merge::top_records;
use crate::outcome::{Cause, Refusal, Result};
use crate::state::Gateway;

/// All upstreams of a service.
struct WholeService<'a>(&'a Pool);

impl Shard for WholeService<'_> {
    fn name(&self) -> &str {
        &self.0.name
    }

    fn replicas(&self) -> Vec<UpstreamKey> {
        self.0.keys()
    }
}

/// Serves a request whose route is known.
pub(crate) async fn run(gateway: &Gateway, job: &Job) -> Result<Response<Bytes>> {
    let suspects = &gateway.fleet.shared().crashes;
    if let Some(failure) = suspects.refusal(job.call.fingerprint, Millis::now()) {
        let refusal = Refusal::from_failure(&failure);
        return Err(with_retry_after(refusal, failure.retry_after, &job.call));
    }
    let route = &job.entry.route;
    let admitted = gateway.gate.admit(route).map_err(|wait| {
        let refusal = Refusal::not_run(Cause::Overloaded, "the limit of the route is reached");
        with_retry_after(refusal, wait, &job.call)
    })?;
    let result = serve(gateway, job).await;
    let now = Millis::now();
    let served_after = result.is_ok().then(|| now.since(job.arrived));
    admitted.finish(served_after, route, now);
    result
}

async fn serve(gateway: &Gateway, job: &Job) -> Result<Response<Bytes>> {
    match &job.entry.route.target {
        Target::Service(service) => whole(gateway, job, service).await,
        Target::Split(shares) => {
            let service = job.entry.splitter.next(shares);
            let none = || Refusal::not_run(Cause::NoUpstream, "no service has a weight");
            whole(gateway, job, service.ok_or_else(none)?).await
        }
        Target::Gather(gather) => merged(gateway, job, gather).await,
    }
}

/// Sends a request to one upstream of a service.
async fn whole(gateway: &Gateway, job: &Job, service: &str) -> Result<Response<Bytes>> {
    let none = || {
        Refusal::not_run(
            Cause::NoUpstream,
            format!("no upstream of {service} is known"),
        )
    };
    let pool = gateway.fleet.find(service).ok_or_else(none)?;
    let shard = WholeService(&pool);
    let result = match job.entry.route.repeat {
        Repeat::Idempotent => pool.fetch(&shard, &job.call).await,
        Repeat::AtMostOnce => pool.dispatch(&shard, &job.call).await,
    };
    match result {
        Ok(answer) => Ok(passed_on(answer)),
        Err(failure) => match job.forwarded.failed.take() {
            Some(answer) if failure.ran != Ran::No => Ok(passed_on(answer)),
            _ => Err(refuse(job, &failure, &pool)),
        },
    }
}

fn passed_on(answer: Answer) -> Response<Bytes> {
    let (mut head, body) = answer.into_parts();
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, body)
}

fn refuse(job: &Job, failure: &Failure, pool: &Pool) -> Refusal {
    let refusal = Refusal::from_failure(failure);
    match failure.ran {
        Ran::No => {
            let wait = Millis(pool.expected_wait(&pool.keys(), 1) as u64);
            with_retry_after(refusal, wait, &job.call)
        }
        Ran::Yes | Ran::Unknown => refusal,
    }
}

/// The parts of a search so far.
struct Parts<'a> {
    gather: &'a Gather,
    answers: Vec<Answer>,
    covered: Vec<bool>,
    failures: Vec<(usize, Failure)>,
    is_overdue: bool,
}

impl Parts<'_> {
    fn progress(&self) -> Progress {
        Progress {
            total: self.gather.shards.len(),
            needed: self.gather.needed(),
            covered: self.answers.len(),
            failed: self.failures.len(),
            is_overdue: self.is_overdue,
        }
    }

    fn add(&mut self, shard: usize, answer: Answer) {
        self.covered[shard] = true;
        self.answers.push(answer);
    }

    /// The shards that are missing, each with its reason, for the log.
    fn missing(&self) -> String {
        let reason = |shard: usize| {
            let failure = self.failures.iter().find(|(s, _)| *s == shard);
            failure.map_or("running", |(_, f)| f.reason.name())
        };
        let missing = (0..self.covered.len()).filter(|&s| !self.covered[s]);
        let named = missing.map(|s| format!("{}={}", self.gather.shards[s], reason(s)));
        named.collect::<Vec<_>>().join(" ")
    }

    /// Whether any shard may have run the search.
    fn ran(&self) -> Ran {
        let failed = self.failures.iter().map(|(_, f)| f.ran).max();
        match self.answers.is_empty() {
            true => failed.unwrap_or(Ran::No),
            false => Ran::Yes,
        }
    }
}

/// Asks one upstream of each shard and merges their parts.
async fn merged(gateway: &Gateway, job: &Job, gather: &Gather) -> Result<Response<Bytes>> {
    let pools: Vec<Option<Rc<Pool>>> = gather
        .shards
        .iter()
        .map(|s| gateway.fleet.find(s))
        .collect();
    let mut parts = Parts {
        gather,
        answers: Vec::with_capacity(pools.len()),
        covered: vec![false; pools.len()],
        failures: Vec::new(),
        is_overdue: false,
    };
    let mut running = FuturesUnordered::new();
    for (shard, pool) in pools.iter().enumerate() {
        match pool {
            Some(pool) => running.push(fetch(pool, job, shard)),
            None => {
                let unknown = Failure::not_run(upstreams::Reason::NoReplica);
                parts.failures.push((shard, unknown));
            }
        }
    }
    let due = job.arrived + answer_within(job.entry.route.objective);
    let due = due.min(job.call.deadline);
    loop {
        match parts.progress().step() {
            Step::Answer => break,
            Step::GiveUp => return Err(give_up(job, &parts, &pools)),
            Step::Wait => {}
        }
        let until = match parts.is_overdue {
            false => due,
            true => job.call.deadline,
        };
        let pause = compio::time::sleep(until.since(Millis::now()).into());
        match select(running.next(), std::pin::pin!(pause)).await {
            Either::Left((Some((shard, Ok(answer))), _)) => parts.add(shard, answer),
            Either::Left((Some((shard, Err(failure))), _)) => {
                parts.failures.push((shard, failure));
            }
            Either::Left((None, _)) => {}
            Either::Right(_) if !parts.is_overdue => parts.is_overdue = true,
            Either::Right(_) => return Err(give_up(job, &parts, &pools)),
        }
    }
    let records = top_records(parts.answers.iter().map(|a| a.body().as_ref()), gather.top);
    let missing = gather.shards.len() - parts.answers.len();
    if missing > 0 {
        gateway.fleet.shared().lines.note(|| {
            info!(gateway.log, "partial answer"; "request_id" => &job.forwarded.id,
                "route" => &job.entry.route.name, "version" => job.version,
                "missing" => parts.missing(), "total" => gather.shards.len(),
                "elapsed_ms" => Millis::now().since(job.arrived).0,
                "store_age_ms" => gateway.follower.store_age(Millis::now()).0);
        });
    }
    Ok(gateway.wire.merged(&parts.answers, missing, records))
}

async fn fetch(pool: &Rc<Pool>, job: &Job, shard: usize) -> (usize, upstreams::Result<Answer>) {
    (shard, pool.fetch(&WholeService(pool), &job.call).await)
}

fn give_up(job: &Job, parts: &Parts<'_>, pools: &[Option<Rc<Pool>>]) -> Refusal {
    let progress = parts.progress();
    let detail = format!(
        "{} of {} shards, {} needed; missing {}",
        progress.covered,
        progress.total,
        progress.needed,
        parts.missing()
    );
    let is_late = Millis::now() >= job.call.deadline;
    let refusal = Refusal {
        cause: match is_late {
            true => Cause::Timeout,
            false => Cause::Coverage,
        },
        // Sub-requests that still wait for their answer may have run.
        ran: match progress.covered + progress.failed < progress.total {
            true => Ran::Unknown,
            false => parts.ran(),
        },
        detail,
        retry_after: None,
    };
    let waits = pools.iter().flatten();
    let wait = waits
        .map(|p| p.expected_wait(&p.keys(), 1))
        .fold(0.0, f64::max);
    with_retry_after(refusal, Millis(wait as u64), &job.call)
}
