//! A search over the shards of a route, and its response.

use std::rc::Rc;

use bytes::Bytes;
use clock::Millis;
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::Response;
use routes::Gather;
use slog::info;
use upstreams::{Answer, Call, Failure, Pool, Ran, Reason};

use super::evacuated::refuse_evacuated;
use super::lateness::refuse_late;
use super::rates::wait_for_rates;
use super::{ServiceShard, with_expected_wait};
use crate::gather::{Progress, Step, partial_answer_after};
use crate::merge::top_records;
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::RoutedRequest;
use crate::state::Gateway;

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

    /// Returns the failure of a search that may not run on any shard, with whether one
    /// may have run it.
    fn denial(&self, may_have_run: bool) -> Option<Failure> {
        let is_denied = |f: &&Failure| matches!(f.reason, Reason::Quarantined | Reason::Revoked);
        let failures = self.failures.iter().map(|(_, failure)| failure);
        let denied = failures.clone().find(is_denied)?;
        let is_running = self.answers.len() + self.failures.len() < self.covered.len();
        let ran = match is_running {
            // The other shards still wait.
            true if denied.reason == Reason::Revoked && !may_have_run => Ran::No,
            true => Ran::Unknown,
            false => self.ran(),
        };
        Some(Failure {
            ran,
            ..denied.clone()
        })
    }

    /// Whether load explains that some shard failed.
    fn is_overload(&self) -> bool {
        let mut failures = self.failures.iter();
        failures.any(|(_, failure)| Refusal::from_failure(failure).is_overload)
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
pub(super) async fn gather_shards(
    gateway: &Gateway,
    request: &RoutedRequest,
    gather: &Gather,
) -> Result<Response<Bytes>> {
    let pools: Vec<Option<Rc<Pool>>> = gather
        .shards
        .iter()
        .map(|s| gateway.fleet.pool(s))
        .collect();
    refuse_evacuated(request, gather, &pools)?;
    let delayed = wait_for_rates(request, gather, &pools).await?;
    refuse_late(&request.call, &pools, gather.required_shards())?;
    // Others run the search already when a shard turns out to wait for a rate limit.
    let patient = Call {
        rate_by: request.call.deadline,
        ..request.call.clone()
    };
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
            Some(pool) => {
                let call = match delayed[shard] {
                    true => &request.call,
                    false => &patient,
                };
                running.push(fetch(pool, call, shard));
            }
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

async fn fetch(pool: &Rc<Pool>, call: &Call, shard: usize) -> (usize, upstreams::Result<Answer>) {
    (shard, pool.fetch(&ServiceShard(pool), call).await)
}

fn coverage_refusal(
    request: &RoutedRequest,
    results: &ShardResults<'_>,
    pools: &[Option<Rc<Pool>>],
) -> Refusal {
    let progress = results.progress();
    if let Some(failure) = results.denial(request.call.may_have_run.get()) {
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
    let is_running = progress.covered + progress.failed < progress.total;
    let cause = match is_late {
        true => Cause::Timeout,
        false => Cause::Coverage,
    };
    let refusal = Refusal {
        // Sub-requests without an answer so far may have run.
        ran: match is_running {
            true => Ran::Unknown,
            false => results.ran(),
        },
        is_overload: is_late || results.is_overload(),
        ..Refusal::not_run(cause, detail)
    };
    let needed = needed_pools(results, pools, Millis::now());
    with_expected_wait(refusal, &needed, &request.call)
}

/// Returns the pools of as many missing shards as the required coverage needs, those
/// that take requests again soonest.
fn needed_pools<'a>(
    results: &ShardResults<'_>,
    pools: &'a [Option<Rc<Pool>>],
    now: Millis,
) -> Vec<Option<&'a Pool>> {
    let progress = results.progress();
    let missing = pools.iter().zip(&results.covered).filter(|(_, c)| !**c);
    let mut missing: Vec<Option<&Pool>> = missing.map(|(pool, _)| pool.as_deref()).collect();
    missing.sort_by_key(|pool| match pool {
        Some(pool) => pool.shortest_backoff(now).unwrap_or(Millis::ZERO),
        None => Millis(u64::MAX),
    });
    missing.truncate(progress.required.saturating_sub(progress.covered));
    missing
}
