//! When the caller of a refused request should retry: callers of workspaces are spread
//! over the time in which room is expected.

use clock::Millis;
use upstreams::Call;

use crate::refusal::Refusal;
use crate::retry_after::spread_retry_after;
use crate::routed_request::with_retry_after;

/// Adds to the refusal of a call the time after which its caller should retry.
pub(crate) fn with_call_retry(refusal: Refusal, wait: Millis, call: &Call) -> Refusal {
    if call.workspace.is_none() {
        return with_retry_after(refusal, wait, call.deadline);
    }
    let left = call.deadline.since(Millis::now());
    Refusal {
        retry_after: Some(spread_retry_after(wait, left, rand::random())),
        ..refusal
    }
}
