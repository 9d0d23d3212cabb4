//! The headers in which both stores report how often they were restored.

use axum::response::Response;

/// Header of the store of the native interface.
pub(crate) const STORE_HEADER: &str = "store-epoch";
/// Header of the platform's store.
pub(crate) const PLATFORM_STORE_HEADER: &str = "store-era";

/// Adds the epoch to an answer once there is one.
pub(crate) fn add_epoch(mut response: Response, header: &'static str, epoch: u64) -> Response {
    if epoch > 0 {
        response.headers_mut().insert(header, epoch.into());
    }
    response
}
