//! The ledger of idempotency keys: a booking is dispatched only after its
//! key has been claimed in the platform's store.

mod bucket;
mod commit;
mod epoch;
mod key;
mod outage;
mod pace;
mod queue;
mod verdict;

pub use bucket::{Bucket, Claim};
pub use key::{FUTURE_SKEW, Key, KeyError, Result};
pub use queue::{BucketView, Ledger, LedgerRequest};
pub use verdict::Verdict;
