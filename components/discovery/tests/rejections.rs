//! The reports of records that can't be used.

use std::rc::Rc;

use clock::Millis;
use discovery::{Change, Changes, Directory, Position, Record, Rejection, Snapshot};

#[path = "support/word_decoder.rs"]
mod word_decoder;

use word_decoder::WordDecoder;

const NOW: Millis = Millis(1_000);
/// Log lines that one read or many writes of odd records may cause.
const MOST_REPORTS: usize = 200;
/// Longest report, in bytes.
const LONGEST_REPORT: usize = 2_000;

fn directory() -> Directory {
    Directory::new(Rc::new(WordDecoder))
}

fn at(revision: u64) -> Position {
    Position { epoch: 0, revision }
}

fn record(key: &str, value: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        revision,
    }
}

fn put(directory: &mut Directory, key: &str, value: &str, revision: u64) {
    let list = vec![Change::Put(record(key, value, revision))];
    let at = at(revision);
    directory.apply(Changes { list, at }, NOW);
}

fn read(directory: &mut Directory, records: Vec<Record>, revision: u64) {
    let at = at(revision);
    directory.replace(Snapshot { records, at }, NOW);
}

/// Guards against a log that fills with the same line at each read or heartbeat.
#[test]
fn a_record_is_reported_once_however_often_it_is_read_or_written() {
    let mut directory = directory();
    for revision in 1..50 {
        read(
            &mut directory,
            vec![record("v", "sideways", revision)],
            revision,
        );
        put(&mut directory, "w", "sideways", revision);
    }
    let reports = directory.take_rejected();
    assert_eq!(reports.len(), 2, "{reports:?}");
    assert!(directory.take_rejected().is_empty());
}

#[test]
fn a_record_that_was_usable_or_deleted_meanwhile_is_reported_again() {
    let mut directory = directory();
    put(&mut directory, "v", "sideways", 1);
    put(&mut directory, "v", "ready 100 1", 2);
    put(&mut directory, "v", "sideways", 3);
    assert_eq!(directory.take_rejected().len(), 2);
    let deletion = Change::Delete {
        key: "v".to_owned(),
        revision: 4,
    };
    let changes = Changes {
        list: vec![deletion],
        at: at(4),
    };
    directory.apply(changes, NOW);
    put(&mut directory, "v", "sideways", 5);
    assert_eq!(directory.take_rejected().len(), 1);
}

/// Operators see each finding of a configuration that they write again.
#[test]
fn another_reason_is_reported() {
    let mut directory = directory();
    put(&mut directory, "c", "config x", 1);
    put(&mut directory, "c", "sideways", 2);
    let reports = directory.take_rejected();
    assert_eq!(reports.len(), 2, "{reports:?}");
}

/// Guards against a log that fills with lines about many records, about one that changes all
/// the time, or with the values of records.
#[test]
fn reports_are_bounded() {
    let mut directory = directory();
    let many = (0..10_000).map(|n| record(&format!("v{n}"), "sideways", 1));
    read(&mut directory, many.collect(), 1);
    let reports = directory.take_rejected();
    assert!(reports.len() <= MOST_REPORTS, "{}", reports.len());
    assert!(reports.iter().any(|r| r.contains("more than")));
    let mut directory = self::directory();
    for n in 2..10_000 {
        put(&mut directory, "v", &format!("state-{n}"), n);
    }
    let reports = directory.take_rejected();
    assert!(reports.len() <= MOST_REPORTS, "{}", reports.len());
    put(&mut directory, "w", &"\u{fc}".repeat(60_000), 10_000);
    let reports = directory.take_rejected();
    assert_eq!(reports.len(), 1);
    assert!(reports[0].len() <= LONGEST_REPORT, "{}", reports[0].len());
}

/// The same holds for what could not be read at all.
#[test]
fn unreadable_items_are_reported_once() {
    let mut directory = directory();
    for _ in 0..50 {
        let rejection = |key: &str| Rejection {
            key: key.to_owned(),
            reason: "no item".to_owned(),
        };
        directory.reject(vec![rejection(""), rejection("v")]);
    }
    let reports = directory.take_rejected();
    assert_eq!(reports.len(), 2, "{reports:?}");
    assert!(reports[0].contains("without a readable key"), "{reports:?}");
}
