//! The ledger of idempotency keys: a booking is dispatched only after its
//! key has been claimed in the platform's store.

mod bucket;
mod committer;
mod era;
mod key;
mod pace;
mod verdict;

pub use bucket::{Bucket, Claim};
pub use committer::{BucketView, Ledger, LedgerRequest};
pub use key::{FUTURE_SKEW, Key, KeyError, Result};
pub use verdict::Verdict;
