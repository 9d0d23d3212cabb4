//! When this daemon last confirmed that its revision is current.

use std::cell::Cell;

use clock::Millis;

/// Time without confirmation after which a daemon confirms its revision before
/// it takes new work.
const CONFIRMATION_VALIDITY: Millis = Millis(3_000);

/// The time of the last exchange that confirmed the revision in force.
///
/// The time at which the exchange began counts: an answer that waited in a
/// socket while this process was paused may be out of date.
#[derive(Debug, Default)]
pub struct Confirmation {
    last: Cell<Millis>,
    is_known: Cell<bool>,
}

impl Confirmation {
    /// Records an exchange that began at `sent` and confirmed the revision in force.
    pub fn confirm(&self, sent: Millis) {
        self.last.set(self.last.get().max(sent));
        self.is_known.set(true);
    }

    /// Whether the last confirmation is recent enough to take new work.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.is_known.get() && now.since(self.last.get()) <= CONFIRMATION_VALIDITY
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.last.get())
    }
}
