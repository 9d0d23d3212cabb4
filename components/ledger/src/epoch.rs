//! Epochs of the store. A store that is restored from a backup lacks its latest claims, so
//! a new epoch starts with empty buckets and refuses the keys that may have been claimed
//! before.

use std::rc::Rc;

use clock::Millis;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use store::Swap;

use crate::key::FUTURE_SKEW;
use crate::queue::Ledger;

/// Key of the latest [`Epoch`] that a daemon has recorded.
pub(crate) const EPOCH_KEY: &str = "ledger/epoch";
const CHECK_INTERVAL: Millis = Millis(1_000);

/// An epoch of the store, and since when its claims are known to be complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Epoch {
    /// Number that the store tells; 0 if it reports none.
    pub(crate) number: u64,
    /// Claims of keys with an earlier time may be lost.
    pub(crate) floor: Millis,
}

impl Epoch {
    /// Returns the store's key of a bucket. Buckets of different epochs have different
    /// keys, so that a write that was sent in an earlier epoch changes nothing now.
    pub(crate) fn bucket_key(&self, bucket: &str) -> String {
        match self.number {
            0 => bucket.to_owned(),
            number => format!("{bucket}/{number}"),
        }
    }
}

impl Ledger {
    /// Records each new epoch of the store until the task is dropped, so that the keys
    /// that it refuses are as few as possible.
    pub async fn follow_epochs(self: Rc<Self>) {
        loop {
            if self.load_epoch().await.is_none() {
                info!(self.log, "epoch of the store not recorded");
            }
            compio::time::sleep(CHECK_INTERVAL.into()).await;
        }
    }

    /// Returns the time after which new keys are accepted again, as far as this daemon
    /// knows the epoch of the store.
    pub fn new_keys_in(&self) -> Millis {
        self.epoch.get().floor.since(Millis::wall())
    }

    /// Whether the store was restored from a backup since an epoch was loaded.
    pub(crate) fn is_over(&self, epoch: &Epoch) -> bool {
        self.store.epoch() != epoch.number
    }

    /// Returns the current epoch, which the first daemon to notice it records; `None`
    /// if the store can't be reached.
    pub(crate) async fn load_epoch(&self) -> Option<Epoch> {
        while self.is_over(&self.epoch.get()) {
            let number = self.store.epoch();
            let entry = self.store.get(EPOCH_KEY).await.ok()?;
            let version = entry.as_ref().map_or(0, |e| e.version);
            let recorded = entry.and_then(|e| serde_json::from_str::<Epoch>(&e.value).ok());
            match recorded.filter(|epoch| epoch.number == number) {
                Some(epoch) => self.start_epoch(epoch),
                None => self.record_epoch(number, version).await?,
            }
        }
        Some(self.epoch.get())
    }

    /// Records a new epoch. The times of keys may be ahead of the clock by
    /// [`FUTURE_SKEW`], so that keys up to there may have been claimed before.
    async fn record_epoch(&self, number: u64, version: u64) -> Option<()> {
        let floor = Millis::wall() + FUTURE_SKEW;
        let epoch = Epoch { number, floor };
        let json = serde_json::to_string(&epoch).ok()?;
        match self.store.swap(EPOCH_KEY, version, &json).await.ok()? {
            Swap::Written(_) if !self.is_over(&epoch) => self.start_epoch(epoch),
            // Another daemon was first, or the store was restored again.
            Swap::Written(_) | Swap::Conflict => {}
        }
        Some(())
    }

    fn start_epoch(&self, epoch: Epoch) {
        if self.is_over(&epoch) {
            return;
        }
        warn!(self.log, "store restored from a backup, earlier keys are refused"; "epoch" => epoch.number,
            "floor_ms" => epoch.floor.0);
        self.epoch.set(epoch);
    }
}
