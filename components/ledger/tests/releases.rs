//! Releases of unused claims that the ledger can't make.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use clock::Millis;
use ledger::{Key, Ledger};
use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use store::{Entry, Store, Swap};
use uuid::Uuid;

#[path = "support/claims.rs"]
mod claims;

use claims::claim_request;

/// The ledger's limit of requests that wait for the next write of a bucket.
const PENDING_LIMIT: usize = 4_096;
const TIMEOUT: Millis = Millis(60_000);
const PAUSE: Duration = Duration::from_millis(50);

/// A store that does not answer.
struct SilentStore;

#[async_trait(?Send)]
impl Store for SilentStore {
    async fn get(&self, _key: &str) -> store::Result<Option<Entry>> {
        std::future::pending().await
    }

    async fn swap(&self, _key: &str, _expected: u64, _value: &str) -> store::Result<Swap> {
        std::future::pending().await
    }

    fn epoch(&self) -> u64 {
        0
    }

    async fn watch(&self, _key: &str, _after: u64, _wait: Millis) -> store::Result<Option<Entry>> {
        std::future::pending().await
    }
}

/// Keeps the messages that are logged.
#[derive(Clone, Default)]
struct Messages(Arc<Mutex<Vec<String>>>);

impl Drain for Messages {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let message = format!("{}: {}", record.level(), record.msg());
        self.0.lock().unwrap().push(message);
        Ok(())
    }
}

#[test]
fn a_release_that_the_full_queue_refuses_is_logged_and_stays_unreleased() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let messages = Messages::default();
        let log = Logger::root(messages.clone(), o!());
        let ledger = Ledger::new(Rc::new(SilentStore), Box::new(|| 1), &log);
        let key = Key::parse(&Uuid::now_v7().to_string()).unwrap();
        // The first claim is in the write that hangs; the others fill the queue.
        for count in [1, PENDING_LIMIT] {
            for _ in 0..count {
                let (ledger, claim) = (ledger.clone(), claim_request(&key, TIMEOUT));
                compio::runtime::spawn(async move { ledger.submit(claim).await }).detach();
            }
            compio::time::sleep(PAUSE).await;
        }
        ledger.release_later(claim_request(&key, TIMEOUT), Millis::ZERO);
        assert_eq!((ledger.releases(), ledger.unreleased()), (1, 1));
        compio::time::sleep(PAUSE).await;
        let logged = messages.0.lock().unwrap().clone();
        assert_eq!(logged, ["WARN: claim not released"]);
        assert_eq!((ledger.releases(), ledger.unreleased()), (0, 1));
    });
}
