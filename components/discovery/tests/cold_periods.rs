//! Until when upstreams are cold, as the directory reads it from their reports.

use std::cell::Cell;
use std::rc::Rc;

use clock::Millis;
use discovery::{Change, Changes, Directory, Position, Record, Snapshot};

#[path = "support/word_decoder.rs"]
mod word_decoder;

use word_decoder::WordDecoder;

const START: Millis = Millis(50_000);

/// A directory, the clock by which it sees cold periods begin, and its last revision.
struct Fixture {
    directory: Directory,
    clock: Rc<Cell<Millis>>,
    revision: u64,
}

impl Fixture {
    /// Returns a directory with a configuration in force.
    fn new(configuration: &str) -> Self {
        let clock = Rc::new(Cell::new(START));
        let time = clock.clone();
        let directory = Directory::with_clock(Rc::new(WordDecoder), Rc::new(move || time.get()));
        let mut fixture = Self {
            directory,
            clock,
            revision: 0,
        };
        fixture.put("c", configuration);
        fixture
    }

    fn put(&mut self, key: &str, value: &str) -> bool {
        self.revision += 1;
        let record = Record {
            key: key.to_owned(),
            value: value.as_bytes().to_vec(),
            revision: self.revision,
        };
        let at = Position {
            epoch: 0,
            revision: self.revision,
        };
        let list = vec![Change::Put(record)];
        self.directory.apply(Changes { list, at }, Millis::ZERO)
    }

    fn advance(&self, time: Millis) {
        self.clock.set(self.clock.get() + time);
    }

    /// Returns for how long the only upstream is cold.
    fn cold_left(&self) -> Millis {
        let (_, until) = self.directory.cold_ends().next().expect("one is known");
        until.since(self.clock.get())
    }
}

#[test]
fn a_period_ends_its_time_after_the_report_and_falling_times_are_no_change() {
    let mut fixture = Fixture::new("config 1 20");
    assert!(fixture.put("u", "ready 100 1 5000"));
    for (sequence, left) in [(2, 4_000), (3, 3_000), (4, 2_000)] {
        fixture.advance(Millis(1_000));
        let report = format!("ready 100 {sequence} {left}");
        assert!(!fixture.put("u", &report), "{report}");
        assert_eq!(fixture.cold_left(), Millis(left));
    }
    fixture.advance(Millis(2_000));
    assert!(!fixture.put("u", "ready 100 5 0"));
    assert_eq!(fixture.cold_left(), Millis::ZERO);
}

#[test]
fn an_upstream_that_turns_cold_again_is_a_change() {
    let mut fixture = Fixture::new("config 1 20");
    assert!(fixture.put("u", "ready 100 1 0"));
    assert!(!fixture.put("u", "ready 100 2 0"));
    assert!(fixture.put("u", "ready 100 3 5000"));
    fixture.advance(Millis(1_000));
    // Also while it is still cold.
    assert!(fixture.put("u", "ready 100 4 5000"));
    assert_eq!(fixture.cold_left(), Millis(5_000));
    // A process that ends the period early is used fully again.
    fixture.advance(Millis(1_000));
    assert!(fixture.put("u", "ready 100 5 0"));
    assert_eq!(fixture.cold_left(), Millis::ZERO);
}

/// Deployments without cold limits must not update their pools more often.
#[test]
fn cold_periods_are_no_change_without_a_cold_limit() {
    let mut fixture = Fixture::new("config 1");
    assert!(fixture.put("u", "ready 100 1 0"));
    assert!(!fixture.put("u", "ready 100 2 5000"));
    assert!(!fixture.put("u", "ready 100 3 0"));
    assert!(!fixture.put("u", "ready 100 4 9000"));
    assert_eq!(fixture.cold_left(), Millis(9_000), "a limit may come later");
}

/// After a restore of the store all records are read anew, and their times are old.
#[test]
fn the_same_report_read_again_does_not_start_the_period_again() {
    let mut fixture = Fixture::new("config 1 20");
    assert!(fixture.put("u", "ready 100 1 5000"));
    fixture.advance(Millis(4_000));
    let records = fixture.directory.snapshot().records;
    let restored = Snapshot {
        records,
        at: Position {
            epoch: 1,
            revision: 1,
        },
    };
    fixture.directory.replace(restored, Millis::ZERO);
    assert_eq!(fixture.cold_left(), Millis(1_000));
}
