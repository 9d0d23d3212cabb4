//! The header in which both stores report how often they were restored.

use axum::response::Response;

const EPOCH_HEADER: &str = "store-era";

/// Adds the epoch to an answer once there is one.
pub(crate) fn add_epoch(mut response: Response, epoch: u64) -> Response {
    if epoch > 0 {
        response.headers_mut().insert(EPOCH_HEADER, epoch.into());
    }
    response
}
