//! Bounds the ledger's writes of the whole fleet.

use std::cell::Cell;

use clock::Millis;

/// Writes a second that all daemons together send to the store.
const FLEET_WRITES_PER_SECOND: u64 = 300;
const BURST: Millis = Millis(100);

/// Spaces the writes of this daemon so that the fleet keeps to its share.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    next: Cell<Millis>,
}

impl Pace {
    /// Returns how long to wait before the next write.
    pub(crate) fn reserve(&self, daemons: usize, now: Millis) -> Millis {
        let interval = Millis(1_000 * daemons.max(1) as u64 / FLEET_WRITES_PER_SECOND);
        let earliest = self.next.get().max(now - BURST);
        self.next.set(earliest + interval);
        earliest.since(now)
    }
}
