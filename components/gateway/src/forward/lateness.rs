//! Requests of workspaces that would end after their deadline: they are refused before
//! any upstream runs them.

use std::rc::Rc;

use clock::Millis;
use upstreams::{Call, ExpectedWait, Pool};

use crate::call_retry::with_call_retry;
use crate::refusal::{Cause, Refusal, Result};

/// Refuses a call of a workspace if too few of the pools that it is sent to can serve it
/// by its deadline.
///
/// # Errors
///
/// The refusal states the expected wait. It does not lower the route's limit: the
/// requests that are served are in time, and the refused ones may be the excess of one
/// workspace.
pub(super) fn refuse_late(call: &Call, pools: &[Option<Rc<Pool>>], required: usize) -> Result<()> {
    let Some(workspace) = &call.workspace else {
        return Ok(());
    };
    let now = Millis::now();
    let waits = pools.iter().flatten().map(|p| p.fair_wait(call, now));
    let waits: Vec<ExpectedWait> = waits.collect();
    let Some(wait) = late_wait(&waits, pools.len(), required) else {
        return Ok(());
    };
    let left = call.deadline.since(now);
    let detail = format!(
        "the expected wait of workspace {workspace} at rank {} is {wait}, {left} are left",
        call.priority
    );
    let refusal = Refusal {
        is_overload: false,
        ..Refusal::not_run(Cause::Overloaded, detail)
    };
    Err(with_call_retry(refusal, wait, call))
}

/// Returns the time until enough of `total` services are expected to have a slot if fewer
/// than `required` can serve a call in time; `None` if enough can. A service without
/// upstreams is no matter of load.
pub fn late_wait(waits: &[ExpectedWait], total: usize, required: usize) -> Option<Millis> {
    let late = waits.iter().filter(|w| w.is_late).map(|w| w.wait);
    let mut late: Vec<Millis> = late.collect();
    late.sort_unstable();
    let missing = required.saturating_sub(total - late.len());
    missing.checked_sub(1).map(|at| late[at])
}
