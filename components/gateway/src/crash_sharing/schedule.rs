//! Decides when a daemon writes the crashes that the store lacks. It answers the load of
//! many daemons that see many crashes, as after a loss of power: each writes rarely, and
//! then all that it may write. No I/O.

use std::collections::HashMap;
use std::hash::Hash;

use clock::Millis;
use discovery::CRASH_BATCH;

/// Mean interval between daemons that write what they have seen themselves. All may
/// see crashes at once, and each makes two calls.
const OWN_INTERVAL_MS: f64 = 7.0;
/// Mean interval between the daemons that write what another one has seen, and the
/// shortest time that it has to write it itself.
const OTHERS_INTERVAL_MS: f64 = 50.0;
const OTHERS_DELAY: Millis = Millis(5_000);
/// A crash that is missing for so long after it was written is written again.
const REWRITE_DELAY: Millis = Millis(1_000);

/// Returns how long one of `daemons` daemons waits before it writes a crash, by a
/// random number from 0 to 1: the daemons that have seen it write first, and neither
/// they nor the others write all at once.
pub fn crash_write_delay(daemons: usize, is_own: bool, random: f64) -> Millis {
    let interval_ms = match is_own {
        true => OWN_INTERVAL_MS,
        false => OTHERS_INTERVAL_MS,
    };
    least_delay(is_own) + Millis((daemons as f64 * interval_ms * random) as u64)
}

fn least_delay(is_own: bool) -> Millis {
    match is_own {
        true => Millis::ZERO,
        false => OTHERS_DELAY,
    }
}

/// A crash that the store lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingCrash<K> {
    /// The crash.
    pub key: K,
    /// Whether this daemon saw it.
    pub is_own: bool,
}

/// The times at which one crash may be and is to be written.
#[derive(Clone, Copy, Debug)]
struct WriteTimes {
    earliest: Millis,
    due: Millis,
}

/// The crashes that one daemon is to write, by their keys.
#[derive(Debug)]
pub struct WriteSchedule<K> {
    times: HashMap<K, WriteTimes>,
    next_write: Millis,
}

impl<K> Default for WriteSchedule<K> {
    fn default() -> Self {
        Self {
            times: HashMap::new(),
            next_write: Millis::ZERO,
        }
    }
}

impl<K: Clone + Eq + Hash> WriteSchedule<K> {
    /// Returns which of the missing crashes one of `daemons` daemons writes now: none until
    /// one is due, and then all that it may write and that fit into one call, its own first.
    /// `random` returns numbers from 0 to 1.
    pub fn take_due(
        &mut self,
        missing: &[MissingCrash<K>],
        daemons: usize,
        now: Millis,
        mut random: impl FnMut() -> f64,
    ) -> Vec<K> {
        let known = std::mem::take(&mut self.times);
        let new_times = |crash: &MissingCrash<K>, random: f64| WriteTimes {
            earliest: now + least_delay(crash.is_own),
            due: now + crash_write_delay(daemons, crash.is_own, random),
        };
        for crash in missing {
            let times = known.get(&crash.key).copied();
            let times = times.unwrap_or_else(|| new_times(crash, random()));
            self.times.insert(crash.key.clone(), times);
        }
        if self.next().is_none_or(|next| now < next) {
            return Vec::new();
        }
        self.next_write = now + Millis((daemons as f64 * OWN_INTERVAL_MS) as u64);
        let own = missing.iter().filter(|crash| crash.is_own);
        let others = missing.iter().filter(|crash| !crash.is_own);
        let keys = own.chain(others).map(|crash| &crash.key);
        let ready = keys.filter(|key| self.times[key].earliest <= now);
        let written: Vec<K> = ready.take(CRASH_BATCH).cloned().collect();
        let again = now + REWRITE_DELAY;
        for key in &written {
            let times = WriteTimes {
                earliest: again,
                due: again,
            };
            self.times.insert(key.clone(), times);
        }
        written
    }

    /// Returns when crashes are to be written next.
    pub fn next(&self) -> Option<Millis> {
        let first = self.times.values().map(|times| times.due).min()?;
        Some(first.max(self.next_write))
    }
}
