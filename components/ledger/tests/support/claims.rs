//! Requests to claim a key.

use clock::Millis;
use ledger::{Key, LedgerRequest};
use uuid::Uuid;

/// A request of a new attempt to claim a key within `timeout`.
pub fn claim_request(key: &Key, timeout: Millis) -> LedgerRequest {
    LedgerRequest {
        service: "jobs".to_owned(),
        key: key.clone(),
        nonce: Uuid::now_v7().to_string(),
        claimer: "entry-1".to_owned(),
        retention: Millis(300_000),
        deadline: Millis::now() + timeout,
        release: false,
    }
}
