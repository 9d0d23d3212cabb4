//! The directory after late, missing, foreign, malformed and repeated records.

use std::rc::Rc;

use clock::Millis;
use discovery::{Change, Changes, Directory, Lifecycle, Record, Snapshot};

#[path = "support/word_decoder.rs"]
mod word_decoder;

use word_decoder::WordDecoder;

const START: Millis = Millis(1_000);
const LATER: Millis = Millis(60_000);

fn record(key: &str, value: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        revision,
    }
}

fn put(key: &str, value: &str, revision: u64) -> Change {
    Change::Put(record(key, value, revision))
}

fn delete(key: &str, revision: u64) -> Change {
    Change::Delete {
        key: key.to_owned(),
        revision,
    }
}

fn apply(directory: &mut Directory, now: Millis, list: Vec<Change>) -> bool {
    let revision = list.iter().map(Change::revision).max().unwrap_or(0);
    directory.apply(Changes { list, revision }, now)
}

fn directory(list: Vec<Change>) -> Directory {
    let mut directory = Directory::new(Rc::new(WordDecoder));
    apply(&mut directory, START, list);
    directory
}

fn states(directory: &Directory) -> Vec<Lifecycle> {
    directory.upstreams().map(|u| u.lifecycle).collect()
}

#[test]
fn a_report_written_late_does_not_undo_a_newer_one() {
    let mut directory = directory(vec![
        put("u", "ready 100 7", 1),
        put("u", "draining 100 8", 2),
    ]);
    assert!(!apply(
        &mut directory,
        START,
        vec![put("u", "ready 100 6", 3)]
    ));
    assert_eq!(states(&directory), [Lifecycle::Draining]);
    apply(&mut directory, START, vec![delete("u", 4)]);
    apply(&mut directory, START, vec![put("u", "ready 100 5", 5)]);
    assert_eq!(states(&directory), []);
}

#[test]
fn reports_of_a_restarted_upstream_replace_earlier_ones() {
    let mut directory = directory(vec![put("u", "draining 100 8", 1)]);
    assert!(apply(
        &mut directory,
        START,
        vec![put("u", "ready 200 1", 2)]
    ));
    assert_eq!(states(&directory), [Lifecycle::Ready]);
    assert!(!apply(
        &mut directory,
        START,
        vec![put("u", "draining 100 9", 3)]
    ));
    assert_eq!(states(&directory), [Lifecycle::Ready]);
}

#[test]
fn a_new_sequence_number_alone_is_no_change() {
    let mut directory = directory(vec![put("u", "ready 100 1", 1)]);
    assert!(!apply(
        &mut directory,
        START,
        vec![put("u", "ready 100 2", 2)]
    ));
    assert_eq!(directory.revision(), 2);
}

#[test]
fn foreign_and_malformed_records_alone_are_ignored() {
    let mut directory = directory(vec![
        put("u", "ready 100 1", 1),
        put("v", "sideways 1 1", 2),
        put("w", "foreign", 3),
        put("u", "ready now 1", 4),
    ]);
    assert_eq!(states(&directory), [Lifecycle::Ready]);
    let rejected = directory.take_rejected();
    assert_eq!(rejected.len(), 2, "{rejected:?}");
    assert!(rejected[0].starts_with("v: "), "{rejected:?}");
}

#[test]
fn older_malformed_or_deleted_records_leave_the_configuration_in_force() {
    let mut directory = directory(vec![put("c", "config 3", 5)]);
    let version = |d: &Directory| d.configuration().map(|(_, c)| c.version);
    assert!(!apply(&mut directory, START, vec![put("c", "config 2", 4)]));
    apply(&mut directory, START, vec![put("c", "config x", 6)]);
    apply(&mut directory, START, vec![delete("c", 7)]);
    assert_eq!(version(&directory), Some(3));
    assert!(apply(&mut directory, START, vec![put("c", "config 4", 8)]));
    assert_eq!(version(&directory), Some(4));
}

#[test]
fn entries_that_expired_in_a_store_outage_are_kept_for_a_grace_period() {
    let mut directory = directory(vec![put("u", "ready 100 1", 1), put("v", "ready 100 1", 2)]);
    directory.record_reconnect(START);
    apply(&mut directory, START, vec![delete("u", 3), delete("v", 4)]);
    assert_eq!(directory.upstreams().count(), 2);
    apply(
        &mut directory,
        START + Millis(500),
        vec![put("u", "ready 100 2", 5)],
    );
    assert!(!directory.expire(START + Millis(1_900)));
    assert!(directory.expire(START + Millis(2_500)));
    let remaining: Vec<&str> = directory.upstreams().map(|u| u.id.as_str()).collect();
    assert_eq!(remaining, ["u"]);
}

#[test]
fn after_the_grace_period_a_deletion_takes_effect_at_once() {
    let mut directory = directory(vec![put("u", "ready 100 1", 1)]);
    directory.record_reconnect(START);
    assert!(apply(&mut directory, LATER, vec![delete("u", 2)]));
    assert_eq!(directory.upstreams().count(), 0);
}

#[test]
fn a_snapshot_deletes_missing_entries_unless_it_is_older() {
    let mut directory = directory(vec![put("u", "ready 100 1", 1), put("v", "ready 100 1", 9)]);
    let old = Snapshot {
        records: vec![],
        revision: 8,
    };
    assert!(!directory.replace(old, LATER));
    assert_eq!(directory.upstreams().count(), 2);
    let new = Snapshot {
        records: vec![record("v", "ready 100 1", 9)],
        revision: 12,
    };
    assert!(directory.replace(new, LATER));
    let remaining: Vec<&str> = directory.upstreams().map(|u| u.id.as_str()).collect();
    assert_eq!(remaining, ["v"]);
    assert_eq!(directory.snapshot().revision, 12);
}
