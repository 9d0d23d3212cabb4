//! Claims and a store that is restored from a backup, between calls and during one.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use clock::Millis;
use ledger::{FUTURE_SKEW, Key, Ledger, Verdict};
use slog::{Discard, Logger, o};
use store::{Entry, Store, Swap};
use uuid::{NoContext, Timestamp, Uuid};

#[path = "support/claims.rs"]
mod claims;

use claims::claim_request;

const TIMEOUT: Millis = Millis(2_000);
const PAUSE: Duration = Duration::from_millis(300);

type Values = HashMap<String, Entry>;

/// A store in memory that can be restored from a backup.
#[derive(Default)]
struct RestorableStore {
    values: RefCell<Values>,
    backup: RefCell<Values>,
    epoch: Cell<u64>,
    /// Whether it is restored just before the next write to a bucket.
    restores_before_write: Cell<bool>,
}

impl RestorableStore {
    fn back_up(&self) {
        *self.backup.borrow_mut() = self.values.borrow().clone();
    }

    fn restore(&self) {
        *self.values.borrow_mut() = self.backup.borrow().clone();
        self.epoch.set(self.epoch.get() + 1);
    }
}

#[async_trait(?Send)]
impl Store for RestorableStore {
    async fn get(&self, key: &str) -> store::Result<Option<Entry>> {
        Ok(self.values.borrow().get(key).cloned())
    }

    async fn swap(&self, key: &str, expected: u64, value: &str) -> store::Result<Swap> {
        let is_bucket = key.starts_with("ledger/jobs/");
        if is_bucket && self.restores_before_write.replace(false) {
            self.restore();
        }
        let mut values = self.values.borrow_mut();
        let version = values.get(key).map_or(0, |e| e.version);
        if version != expected {
            return Ok(Swap::Conflict);
        }
        let version = version + 1;
        let value = value.to_owned();
        values.insert(key.to_owned(), Entry { version, value });
        Ok(Swap::Written(version))
    }

    fn epoch(&self) -> u64 {
        self.epoch.get()
    }

    async fn watch(&self, _: &str, _: u64, _: Millis) -> store::Result<Option<Entry>> {
        Ok(None)
    }
}

fn daemon(store: &Rc<RestorableStore>) -> Rc<Ledger> {
    let log = Logger::root(Discard, o!());
    Ledger::new(store.clone(), Box::new(|| 1), &log)
}

/// Returns a key whose time is this far ahead of the clock.
fn key(ahead: Millis) -> Key {
    let time = Millis::wall() + ahead;
    let stamp = Timestamp::from_unix(
        NoContext,
        time.0 / 1_000,
        (time.0 % 1_000) as u32 * 1_000_000,
    );
    Key::parse(&Uuid::new_v7(stamp).to_string()).unwrap()
}

async fn claim(ledger: &Rc<Ledger>, key: &Key) -> Verdict {
    ledger.submit(claim_request(key, TIMEOUT)).await
}

#[compio::test]
async fn a_key_that_a_restored_store_lacks_is_not_claimed_again() {
    let store = Rc::new(RestorableStore::default());
    let (first, second) = (daemon(&store), daemon(&store));
    store.back_up();
    let booked = key(Millis::ZERO);
    assert_eq!(claim(&first, &booked).await, Verdict::Claimed);
    store.restore();
    assert_eq!(claim(&second, &booked).await, Verdict::ClaimLost);
    assert_eq!(claim(&first, &booked).await, Verdict::ClaimLost);
    // A backup that has the new epoch, and then another restore.
    store.back_up();
    store.restore();
    assert_eq!(claim(&second, &booked).await, Verdict::ClaimLost);
    assert_eq!(claim(&daemon(&store), &booked).await, Verdict::ClaimLost);
}

#[compio::test]
async fn a_claim_that_is_written_after_a_restore_does_not_count() {
    let store = Rc::new(RestorableStore::default());
    let (first, second) = (daemon(&store), daemon(&store));
    store.back_up();
    let booked = key(Millis::ZERO);
    store.restores_before_write.set(true);
    assert_eq!(claim(&first, &booked).await, Verdict::ClaimLost);
    assert_eq!(claim(&second, &booked).await, Verdict::ClaimLost);
}

/// A claim of an earlier epoch may be written late, at a version that is given out
/// again: it must not undo a claim of the new epoch.
#[compio::test]
async fn a_write_of_an_earlier_epoch_does_not_undo_a_claim_of_the_new_one() {
    let store = Rc::new(RestorableStore::default());
    let booked = key(FUTURE_SKEW - Millis(1));
    store.back_up();
    let late = daemon(&store);
    let bucket = booked.bucket("jobs");
    assert_eq!(claim(&late, &booked).await, Verdict::Claimed);
    let written = store.values.borrow()[&bucket].value.clone();
    store.restore();
    // Records the epoch.
    assert_eq!(claim(&late, &booked).await, Verdict::ClaimLost);
    let new = key(FUTURE_SKEW + Millis(200));
    compio::time::sleep(PAUSE).await;
    assert_eq!(claim(&daemon(&store), &new).await, Verdict::Claimed);
    let replayed = store.swap(&bucket, 0, &written).await.unwrap();
    assert_eq!(replayed, Swap::Written(1));
    let again = claim(&daemon(&store), &new).await;
    assert!(matches!(again, Verdict::Duplicate { .. }), "{again:?}");
}

#[compio::test]
async fn new_keys_are_accepted_when_they_can_no_longer_have_been_claimed_before() {
    let store = Rc::new(RestorableStore::default());
    let first = daemon(&store);
    store.restore();
    let (early, late) = (key(FUTURE_SKEW - Millis(1)), key(FUTURE_SKEW + Millis(200)));
    assert_eq!(claim(&first, &early).await, Verdict::ClaimLost);
    compio::time::sleep(PAUSE).await;
    assert_eq!(claim(&first, &late).await, Verdict::Claimed);
    assert!(first.new_keys_in() <= FUTURE_SKEW);
    assert!(first.new_keys_in() > Millis(8_000));
}
