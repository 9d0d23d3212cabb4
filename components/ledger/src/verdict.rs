//! The answer to a claim.

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The key is claimed by the asker, who may dispatch once.
    Claimed,
    /// The key was claimed before, by this daemon.
    Duplicate {
        /// Name of the daemon that claimed it.
        claimer: String,
    },
    /// The key's time is before the kept window.
    TooOld,
    /// The key's time is too far ahead.
    Future,
    /// The bucket holds as many claims as it can.
    Full,
    /// The store did not confirm the claim in time.
    Unavailable,
    /// The claim was released.
    Released,
}
