//! Limits the rate of ledger writes of all daemons together.

use std::cell::Cell;

use clock::Millis;

/// Ledger writes per second that all daemons together may send to the store.
const TOTAL_WRITES_PER_SECOND: u64 = 300;
// A daemon that was idle may make up for the writes of this span at once.
const BURST_WINDOW: Millis = Millis(100);

/// Spaces the writes of this daemon so that all daemons together stay within
/// the limit.
#[derive(Debug, Default)]
pub(crate) struct WritePacer {
    next_write: Cell<Millis>,
}

impl WritePacer {
    /// Reserves the next write and returns how long to wait before it.
    pub(crate) fn reserve(&self, daemons: usize, now: Millis) -> Millis {
        let interval = Millis(1_000 * daemons.max(1) as u64 / TOTAL_WRITES_PER_SECOND);
        let earliest = self.next_write.get().max(now - BURST_WINDOW);
        self.next_write.set(earliest + interval);
        earliest.since(now)
    }
}
