//! Eras of the store. A store that comes back from a copy lacks its latest claims, so
//! a new era starts with empty buckets and refuses the keys that may have been claimed
//! before.

use std::rc::Rc;

use clock::Millis;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use store::Swap;

use crate::key::FUTURE_SKEW;
use crate::queue::Ledger;

/// Key of the latest [`Era`] that a daemon has recorded.
const ERA_KEY: &str = "ledger/era";
const CHECK_INTERVAL: Millis = Millis(1_000);

/// An era of the store, and since when its claims are known to be complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Era {
    /// Number that the store tells; 0 if it tells none.
    pub(crate) number: u64,
    /// Claims of keys with an earlier time may be lost.
    pub(crate) floor: Millis,
}

impl Era {
    /// Returns the store's key of a bucket. Buckets of different eras have different
    /// keys, so that a write that was sent in an earlier era changes nothing now.
    pub(crate) fn bucket_key(&self, bucket: &str) -> String {
        match self.number {
            0 => bucket.to_owned(),
            number => format!("{bucket}/{number}"),
        }
    }
}

impl Ledger {
    /// Records each new era of the store until the task is dropped, so that the keys
    /// that it refuses are as few as possible.
    pub async fn follow_eras(self: Rc<Self>) {
        loop {
            if self.load_era().await.is_none() {
                info!(self.log, "era of the store not recorded");
            }
            compio::time::sleep(CHECK_INTERVAL.into()).await;
        }
    }

    /// Returns the time after which new keys are accepted again, as far as this daemon
    /// knows the era of the store.
    pub fn new_keys_in(&self) -> Millis {
        self.era.get().floor.since(Millis::wall())
    }

    /// Whether the store has come back from a copy since an era was loaded.
    pub(crate) fn is_over(&self, era: &Era) -> bool {
        self.store.era() != era.number
    }

    /// Returns the current era, which the first daemon to notice it records; `None`
    /// if the store can't be reached.
    pub(crate) async fn load_era(&self) -> Option<Era> {
        while self.is_over(&self.era.get()) {
            let number = self.store.era();
            let entry = self.store.get(ERA_KEY).await.ok()?;
            let version = entry.as_ref().map_or(0, |e| e.version);
            let recorded = entry.and_then(|e| serde_json::from_str::<Era>(&e.value).ok());
            match recorded.filter(|era| era.number == number) {
                Some(era) => self.start_era(era),
                None => self.record_era(number, version).await?,
            }
        }
        Some(self.era.get())
    }

    /// Records a new era. The times of keys may be ahead of the clock by
    /// [`FUTURE_SKEW`], so that keys up to there may have been claimed before.
    async fn record_era(&self, number: u64, version: u64) -> Option<()> {
        let floor = Millis::wall() + FUTURE_SKEW;
        let era = Era { number, floor };
        let json = serde_json::to_string(&era).ok()?;
        match self.store.swap(ERA_KEY, version, &json).await.ok()? {
            Swap::Written(_) if !self.is_over(&era) => self.start_era(era),
            // Another daemon was first, or the store came back from a copy again.
            Swap::Written(_) | Swap::Conflict => {}
        }
        Some(())
    }

    fn start_era(&self, era: Era) {
        if self.is_over(&era) {
            return;
        }
        warn!(self.log, "store restored from a copy, earlier keys are refused"; "era" => era.number,
            "floor_ms" => era.floor.0);
        self.era.set(era);
    }
}
