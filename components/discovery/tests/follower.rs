//! How a follower tells an outage of the store from a failure of its own calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use clock::Millis;
use discovery::{
    Change, Changes, Directory, Error, Feed, Follower, Position, Record, Result, SharedDirectory,
    Snapshot,
};
use rstest::rstest;

#[path = "support/word_decoder.rs"]
mod word_decoder;

use word_decoder::WordDecoder;

const KEY: &str = "u1";
const HEARTBEAT: Millis = Millis(1_200);
/// How long the follower follows the store before calls fail.
const CALM_TIME: Duration = Duration::from_millis(300);
/// Longest time from the end of the failures until a deletion is known: a delay and a
/// watch.
const WATCH_CYCLE: Duration = Duration::from_millis(1_600);

/// A store with one record. While it fails, each call is refused.
#[derive(Default)]
struct FakeFeed {
    is_failing: Cell<bool>,
    is_deleted: Cell<bool>,
    revision: Cell<u64>,
}

impl FakeFeed {
    fn at(&self) -> Position {
        Position {
            epoch: 0,
            revision: self.revision.get(),
        }
    }

    fn check(&self) -> Result<()> {
        match self.is_failing.get() {
            true => Err(Error::Unavailable {
                detail: "status 429".to_owned(),
            }),
            false => Ok(()),
        }
    }

    fn delete(&self) {
        self.is_deleted.set(true);
        self.revision.set(self.revision.get() + 1);
    }
}

#[async_trait(?Send)]
impl Feed for FakeFeed {
    async fn read(&self) -> Result<Snapshot> {
        self.check()?;
        self.revision.set(1);
        let record = Record {
            key: KEY.to_owned(),
            value: b"ready 100 1".to_vec(),
            revision: 1,
        };
        Ok(Snapshot {
            records: vec![record],
            at: self.at(),
        })
    }

    async fn watch(&self, after: Position, _: Millis) -> Result<Changes> {
        self.check()?;
        let is_new = self.is_deleted.get() && after < self.at();
        let deletion = is_new.then(|| Change::Delete {
            key: KEY.to_owned(),
            revision: self.revision.get(),
        });
        Ok(Changes {
            list: deletion.into_iter().collect(),
            at: self.at(),
        })
    }

    async fn watch_anew(&self, after: Position, within: Millis) -> Result<Changes> {
        self.watch(after, within).await
    }

    fn epoch(&self) -> u64 {
        0
    }

    fn observe_epoch(&self, _: u64) {}
}

fn follow(feed: &Rc<FakeFeed>) -> SharedDirectory {
    let directory = Rc::new(RefCell::new(Directory::new(Rc::new(WordDecoder))));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let me = ([127, 0, 0, 1], 1).into();
    let follower = Follower::new(
        feed.clone(),
        directory.clone(),
        Vec::new(),
        me,
        HEARTBEAT,
        &log,
    );
    compio::runtime::spawn(follower.clone().follow_store()).detach();
    compio::runtime::spawn(follower.follow_peers()).detach();
    directory
}

/// Guards against a record that was deleted staying in use because a call of this daemon had
/// failed, though the store was never away for as long as records take to expire.
#[rstest]
#[case::no_failure(0, false)]
#[case::short_failure(600, false)]
#[case::outage(3_000, true)]
#[compio::test]
async fn records_are_kept_only_after_an_outage_in_which_they_can_expire(
    #[case] failing_ms: u64,
    #[case] is_kept: bool,
) {
    let feed = Rc::new(FakeFeed::default());
    let directory = follow(&feed);
    compio::time::sleep(CALM_TIME).await;
    assert_eq!(directory.borrow().upstreams().count(), 1);
    feed.is_failing.set(failing_ms > 0);
    compio::time::sleep(Duration::from_millis(failing_ms)).await;
    feed.delete();
    feed.is_failing.set(false);
    compio::time::sleep(WATCH_CYCLE).await;
    let is_known = directory.borrow().upstreams().count() == 1;
    assert_eq!(is_known, is_kept);
    compio::time::sleep(WATCH_CYCLE + Duration::from_secs(1)).await;
    assert_eq!(directory.borrow().upstreams().count(), 0);
}
