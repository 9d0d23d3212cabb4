//! Requests beyond the rates that upstreams take: who is refused, and when to come
//! back.

use std::rc::Rc;

use clock::Millis;
use routes::Gather;
use upstreams::{Call, Pool};

use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::{RoutedRequest, with_retry_after};

/// Time after which a caller may try another daemon if this daemon's share of a rate
/// limit is less than a request.
const SMALL_SHARE_WAIT: Millis = Millis(200);

/// Returns for each shard whether the rate limits of its upstreams delay a search for
/// longer than it may wait for them.
fn find_delayed(call: &Call, pools: &[Option<Rc<Pool>>]) -> Vec<bool> {
    let now = Millis::now();
    let is_delayed = |pool: &Rc<Pool>| match pool.rate_wait(call.draw, now) {
        Some(Millis::ZERO) => false,
        Some(wait) => now + wait > call.rate_by,
        None => true,
    };
    let pools = pools.iter();
    pools.map(|p| p.as_ref().is_some_and(is_delayed)).collect()
}

/// Waits until the shares of cold upstreams allow a search on enough shards at once, and
/// returns what [`find_delayed`] does then. Such a share can pass while a search waits for
/// it in a queue; a shard that has run the search by then would have done so for nothing.
///
/// # Errors
///
/// Fails as [`refuse_beyond_rates`] does, if the search may not wait so long.
pub(super) async fn wait_for_rates(
    request: &RoutedRequest,
    gather: &Gather,
    pools: &[Option<Rc<Pool>>],
) -> Result<Vec<bool>> {
    loop {
        let delayed = find_delayed(&request.call, pools);
        refuse_beyond_rates(request, gather, pools, &delayed)?;
        match wait_for_enough(&request.call, gather, pools) {
            Millis::ZERO => return Ok(delayed),
            wait => compio::time::sleep(wait.into()).await,
        }
    }
}

/// Returns the time until the rates may allow a search on enough shards, zero if they do
/// or if no upstream of them is cold.
fn wait_for_enough(call: &Call, gather: &Gather, pools: &[Option<Rc<Pool>>]) -> Millis {
    let now = Millis::now();
    let known = || pools.iter().flatten();
    if !known().any(|pool| pool.has_cold_upstreams()) {
        return Millis::ZERO;
    }
    let waits: Vec<Millis> = known()
        .filter_map(|p| p.rate_wait(call.draw, now))
        .collect();
    let ready = waits.iter().filter(|wait| **wait == Millis::ZERO).count();
    match ready >= gather.required_shards() {
        true => Millis::ZERO,
        false => {
            let later = waits.into_iter().filter(|wait| *wait > Millis::ZERO);
            later.min().unwrap_or_default()
        }
    }
}

/// Refuses a search before any shard runs it if too few shards remain without the
/// delayed ones.
fn refuse_beyond_rates(
    request: &RoutedRequest,
    gather: &Gather,
    pools: &[Option<Rc<Pool>>],
    delayed: &[bool],
) -> Result<()> {
    let (call, now) = (&request.call, Millis::now());
    let delayed: Vec<&Pool> = pools
        .iter()
        .zip(delayed)
        .filter_map(|(pool, is_delayed)| pool.as_deref().filter(|_| *is_delayed))
        .collect();
    let allowed = pools.len() - delayed.len();
    let missing = gather.required_shards().saturating_sub(allowed);
    if delayed.is_empty() || missing == 0 {
        return Ok(());
    }
    for pool in &delayed {
        pool.record_rate_misses(&pool.keys(), call.draw, now);
    }
    let mut waits: Vec<Millis> = delayed.iter().map(|pool| rate_wait(pool, now)).collect();
    waits.sort_unstable();
    let wait = waits.get(missing - 1).copied().unwrap_or_default();
    let detail = format!(
        "{} of {} shards are at their rate limits",
        delayed.len(),
        pools.len()
    );
    let refusal = Refusal::not_run(Cause::RateLimited, detail);
    Err(with_retry_after(refusal, wait, call.deadline))
}

/// Returns the time until the rate limits of a pool allow the next request, as the
/// caller's next attempt has another draw.
pub(super) fn rate_wait(pool: &Pool, now: Millis) -> Millis {
    let wait = pool.rate_wait(rand::random(), now);
    wait.unwrap_or(SMALL_SHARE_WAIT)
}
