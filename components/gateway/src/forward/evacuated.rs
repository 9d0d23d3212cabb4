//! Searches whose shards have no upstream outside of evacuated failure domains.

use std::rc::Rc;

use clock::Millis;
use routes::Gather;
use upstreams::Pool;

use super::UPSTREAM_START_TIME;
use crate::refusal::{Cause, Refusal, Result};
use crate::routed_request::{RoutedRequest, with_retry_after};

/// Refuses a search before any shard runs it if evacuations leave too few shards with an
/// upstream. Otherwise the shards that are left would run it for nothing.
pub(super) fn refuse_evacuated(
    request: &RoutedRequest,
    gather: &Gather,
    pools: &[Option<Rc<Pool>>],
) -> Result<()> {
    let known = || pools.iter().flatten();
    if !known().any(|pool| pool.is_evacuated()) {
        return Ok(());
    }
    let now = Millis::now();
    let left = known().filter(|pool| pool.shortest_backoff(now).is_some());
    let left = left.count();
    if left >= gather.required_shards() {
        return Ok(());
    }
    let detail = format!(
        "{left} of {} shards have an upstream outside of evacuated failure domains",
        pools.len()
    );
    let refusal = Refusal::not_run(Cause::NoUpstream, detail);
    let deadline = request.call.deadline;
    Err(with_retry_after(refusal, UPSTREAM_START_TIME, deadline))
}
