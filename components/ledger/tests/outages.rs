//! Claims while the store does not answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use clock::Millis;
use futures_util::FutureExt;
use ledger::{Key, Ledger, Verdict};
use slog::{Discard, Logger, o};
use store::{Entry, Error, Store, Swap};
use uuid::Uuid;

#[path = "support/claims.rs"]
mod claims;

use claims::claim_request;

const CLAIM_TIMEOUT: Millis = Millis(20_000);
/// Time after which a call to a store that does not answer fails.
const CALL_TIME: Duration = Duration::from_millis(300);
/// Time after which a store that failed may have been called again.
const PAUSE: Duration = Duration::from_millis(1_000);
const RETURN_TIME: Duration = Duration::from_secs(5);

/// What happens to a call that reaches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Answering,
    /// Calls fail after [`CALL_TIME`].
    TimingOut,
    /// Calls neither end nor fail, also after the mode changes.
    Hanging,
}

struct FaultyStore {
    mode: Cell<Mode>,
    calls: Cell<usize>,
}

impl FaultyStore {
    fn new(mode: Mode) -> Rc<Self> {
        let calls = Cell::new(0);
        Rc::new(Self {
            mode: Cell::new(mode),
            calls,
        })
    }

    async fn call(&self) -> store::Result<()> {
        self.calls.set(self.calls.get() + 1);
        match self.mode.get() {
            Mode::Answering => Ok(()),
            Mode::TimingOut => {
                compio::time::sleep(CALL_TIME).await;
                let detail = "timed out".to_owned();
                let service = "store";
                Err(Error::OutcomeUnknown { service, detail })
            }
            Mode::Hanging => std::future::pending().await,
        }
    }
}

#[async_trait(?Send)]
impl Store for FaultyStore {
    async fn get(&self, _key: &str) -> store::Result<Option<Entry>> {
        self.call().await.map(|()| None)
    }

    async fn swap(&self, _key: &str, _expected: u64, _value: &str) -> store::Result<Swap> {
        self.call().await.map(|()| Swap::Written(1))
    }

    fn epoch(&self) -> u64 {
        0
    }

    async fn watch(&self, _key: &str, _after: u64, _wait: Millis) -> store::Result<Option<Entry>> {
        self.call().await.map(|()| None)
    }
}

fn ledger_on(store: &Rc<FaultyStore>) -> Rc<Ledger> {
    let log = Logger::root(Discard, o!());
    Ledger::new(store.clone(), Box::new(|| 1), &log)
}

fn new_key() -> Key {
    Key::parse(&Uuid::now_v7().to_string()).unwrap()
}

async fn claim(ledger: &Rc<Ledger>, key: &Key) -> Verdict {
    ledger.submit(claim_request(key, CLAIM_TIMEOUT)).await
}

async fn wait_until_claimed(ledger: &Rc<Ledger>) {
    let claiming = async {
        while claim(ledger, &new_key()).await != Verdict::Claimed {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let claimed = compio::time::timeout(RETURN_TIME, claiming).await;
    assert!(claimed.is_ok(), "no claim after the store answers again");
}

/// The store was tried again by a claim 0.5 s after each failure, and each such claim
/// waited for the time-out of the call.
#[compio::test]
async fn claims_are_refused_at_once_until_the_store_answers() {
    let store = FaultyStore::new(Mode::TimingOut);
    let ledger = ledger_on(&store);
    assert_eq!(claim(&ledger, &new_key()).await, Verdict::Unavailable);
    for _ in 0..3 {
        compio::time::sleep(PAUSE).await;
        let verdict = claim(&ledger, &new_key()).now_or_never();
        assert_eq!(verdict, Some(Verdict::Unavailable));
    }
    store.mode.set(Mode::Answering);
    wait_until_claimed(&ledger).await;
}

/// A claim that waited behind a failing call of its bucket made a call of its own.
#[compio::test]
async fn claims_that_wait_for_a_failing_call_are_refused_with_it() {
    let store = FaultyStore::new(Mode::TimingOut);
    let ledger = ledger_on(&store);
    let key = new_key();
    let first = claim(&ledger, &key);
    let second = async {
        compio::time::sleep(CALL_TIME / 3).await;
        assert_eq!(store.calls.get(), 1, "the first call has failed already");
        claim(&ledger, &key).await
    };
    let verdicts = futures_util::future::join(first, second).await;
    assert_eq!(verdicts, (Verdict::Unavailable, Verdict::Unavailable));
    assert_eq!(store.calls.get(), 1);
}

/// Calls that still hang must not delay the first claim after an outage.
#[compio::test]
async fn claims_are_made_again_though_calls_from_the_outage_hang() {
    let store = FaultyStore::new(Mode::TimingOut);
    let ledger = ledger_on(&store);
    assert_eq!(claim(&ledger, &new_key()).await, Verdict::Unavailable);
    store.mode.set(Mode::Hanging);
    compio::time::sleep(PAUSE).await;
    store.mode.set(Mode::Answering);
    wait_until_claimed(&ledger).await;
}
