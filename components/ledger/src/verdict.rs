//! The result of a ledger request.

/// The result of a claim or a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is claimed by the requesting attempt, which may dispatch once.
    Claimed,
    /// The key was claimed before by another attempt.
    Duplicate {
        /// Name of the daemon that claimed the key.
        claimer: String,
    },
    /// The key's time is before the retention window.
    TooOld,
    /// The store was restored from a backup after the key's time: a claim of the key may be
    /// lost.
    ClaimLost,
    /// The key's time is too far in the future.
    Future,
    /// The bucket has reached its limit of claims.
    Full,
    /// The store did not confirm the claim in time.
    Unavailable,
    /// The claim was released.
    Released,
}
