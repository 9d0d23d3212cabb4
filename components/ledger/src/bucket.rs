//! A ledger bucket: the claims stored under one key of the store, and the
//! rules for changing them.

use clock::Millis;
use serde::{Deserialize, Serialize};

use crate::key::{FUTURE_SKEW, Key};
use crate::verdict::Verdict;

/// Maximum number of claims in a bucket; at about 130 bytes each they stay
/// below the store's limit for a value.
const CLAIM_LIMIT: usize = 6_000;

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: String,
    /// The time encoded in the key.
    pub time: Millis,
    /// Identifies the attempt that claimed the key.
    pub nonce: String,
    /// Name of the daemon that claimed the key.
    pub claimer: String,
}

/// The claims of one bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Keys with an earlier time are refused, because their claims may have
    /// been dropped.
    pub floor: Millis,
    /// The claims at or above the floor.
    pub claims: Vec<Claim>,
}

impl Bucket {
    /// Raises the floor to the start of the retention window and drops the
    /// claims below it. Both are written in one compare-and-swap, so a dropped
    /// key can't be claimed again.
    pub fn advance(&mut self, now: Millis, retention: Millis) {
        self.floor = self.floor.max(now - retention);
        let floor = self.floor;
        self.claims.retain(|c| c.time >= floor);
    }

    /// Claims a key, or returns why it can't be claimed.
    pub fn claim(&mut self, key: &Key, nonce: &str, claimer: &str, now: Millis) -> Verdict {
        let existing = self.claims.iter().find(|c| c.key == key.text);
        match existing {
            Some(claim) if claim.nonce == nonce => return Verdict::Claimed,
            Some(claim) => {
                return Verdict::Duplicate {
                    claimer: claim.claimer.clone(),
                };
            }
            None if key.time < self.floor => return Verdict::TooOld,
            None if key.time > now + FUTURE_SKEW => return Verdict::Future,
            None if self.claims.len() >= CLAIM_LIMIT => return Verdict::Full,
            None => {}
        }
        let (key, time) = (key.text.clone(), key.time);
        self.claims.push(Claim {
            key,
            time,
            nonce: nonce.to_owned(),
            claimer: claimer.to_owned(),
        });
        Verdict::Claimed
    }

    /// Drops the claim of an attempt that will not dispatch; a claim with
    /// another nonce stays.
    pub fn release(&mut self, key: &Key, nonce: &str) {
        self.claims
            .retain(|c| !(c.key == key.text && c.nonce == nonce));
    }
}
