//! The directory after late, missing, foreign, malformed and repeated records.

use std::rc::Rc;

use clock::Millis;
use discovery::{Change, Changes, Directory, Lifecycle, Position, Record, Snapshot, Update};

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
    let at = Position { epoch: 0, revision };
    directory.apply(Changes { list, at }, now)
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
    assert_eq!(directory.position().revision, 2);
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
    let version = |d: &Directory| d.configuration().map(|c| c.version);
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
        at: Position {
            epoch: 0,
            revision: 8,
        },
    };
    assert!(!directory.replace(old, LATER));
    assert_eq!(directory.upstreams().count(), 2);
    let new = Snapshot {
        records: vec![record("v", "ready 100 1", 9)],
        at: Position {
            epoch: 0,
            revision: 12,
        },
    };
    assert!(directory.replace(new, LATER));
    let remaining: Vec<&str> = directory.upstreams().map(|u| u.id.as_str()).collect();
    assert_eq!(remaining, ["v"]);
    assert_eq!(directory.snapshot().at.revision, 12);
}

fn at(epoch: u64, revision: u64) -> Position {
    Position { epoch, revision }
}

fn snapshot(records: Vec<Record>, at: Position) -> Snapshot {
    Snapshot { records, at }
}

fn ids(directory: &Directory) -> Vec<&str> {
    directory.upstreams().map(|u| u.id.as_str()).collect()
}

#[test]
fn records_that_a_restored_store_lacks_are_kept_for_a_grace_period() {
    let mut directory = directory(vec![put("u", "ready 100 9", 8), put("v", "ready 100 9", 9)]);
    let copy = snapshot(vec![record("u", "ready 100 2", 2)], at(1, 3));
    directory.replace(copy, LATER);
    assert_eq!(directory.position(), at(1, 3));
    assert_eq!(ids(&directory), ["u", "v"]);
    assert!(!directory.expire(LATER + Millis(1_900)));
    assert!(directory.expire(LATER + Millis(2_400)));
    assert_eq!(ids(&directory), ["u"]);
}

#[test]
fn a_second_restore_gives_records_the_whole_grace_period_again() {
    let mut directory = directory(vec![put("u", "ready 100 9", 8)]);
    directory.replace(snapshot(vec![], at(1, 3)), LATER);
    let second = LATER + Millis(2_000);
    directory.replace(snapshot(vec![], at(2, 3)), second);
    assert!(!directory.expire(second + Millis(1_900)));
    assert!(directory.expire(second + Millis(2_400)));
}

#[test]
fn lower_revisions_of_a_later_epoch_replace_known_records() {
    let mut directory = directory(vec![put("u", "ready 100 9", 8)]);
    let copy = snapshot(vec![record("u", "ready 100 2", 2)], at(1, 3));
    directory.replace(copy, LATER);
    let list = vec![put("u", "draining 100 10", 4)];
    let changes = |epoch, list| Changes {
        list,
        at: at(epoch, 4),
    };
    // An answer of the earlier epoch comes late.
    assert!(!directory.apply(changes(0, vec![put("u", "draining 100 11", 90)]), LATER));
    assert_eq!(states(&directory), [Lifecycle::Ready]);
    assert!(!directory.replace(snapshot(vec![], at(0, 99)), LATER));
    assert!(directory.apply(changes(1, list), LATER));
    assert_eq!(states(&directory), [Lifecycle::Draining]);
}

#[test]
fn an_older_report_in_a_backup_does_not_undo_that_an_upstream_drains() {
    let mut directory = directory(vec![put("u", "draining 100 9", 8)]);
    let copy = snapshot(vec![record("u", "ready 100 2", 2)], at(1, 3));
    directory.replace(copy, LATER);
    assert_eq!(states(&directory), [Lifecycle::Draining]);
}

#[test]
fn the_configuration_of_a_backup_does_not_replace_a_higher_version() {
    let mut directory = directory(vec![put("c", "config 5", 8)]);
    let version = |d: &Directory| d.configuration().map(|c| c.version);
    let copy = snapshot(vec![record("c", "config 3", 2)], at(1, 3));
    directory.replace(copy, LATER);
    assert_eq!(version(&directory), Some(5));
    for (value, expected) in [("config 4", 5), ("config 5", 5), ("config 6", 6)] {
        let revision = directory.position().revision + 1;
        let list = vec![put("c", value, revision)];
        let at = at(1, revision);
        directory.apply(Changes { list, at }, LATER);
        assert_eq!(version(&directory), Some(expected));
    }
}

#[test]
fn a_peer_with_a_lower_version_gets_the_configuration_in_force() {
    let mut first = directory(vec![put("c", "config 5", 8)]);
    let copy = || snapshot(vec![record("c", "config 3", 2)], at(1, 3));
    first.replace(copy(), LATER);
    let mut second = Directory::new(Rc::new(WordDecoder));
    second.replace(copy(), LATER);
    second.replace(first.snapshot(), LATER);
    assert_eq!(second.configuration().map(|c| c.version), Some(5));
}

#[test]
fn a_peer_of_another_epoch_gets_all_records_or_nothing() {
    let mut restored = directory(vec![put("u", "ready 100 9", 8)]);
    let records = vec![record("u", "ready 100 9", 2)];
    restored.replace(snapshot(records.clone(), at(1, 3)), LATER);
    let expected = Update::Snapshot(snapshot(records, at(1, 3)));
    assert_eq!(restored.update_since(at(0, 8)), expected);
    let nothing = Update::Changes(Changes {
        list: vec![],
        at: at(1, 3),
    });
    assert_eq!(restored.update_since(at(2, 1)), nothing);
    assert_eq!(restored.update_since(at(1, 3)), nothing);
}

#[test]
fn peers_do_not_get_records_whose_deletion_may_be_a_lapse() {
    let mut directory = directory(vec![put("u", "ready 100 1", 1)]);
    directory.record_reconnect(START);
    apply(&mut directory, START, vec![delete("u", 2)]);
    assert_eq!(ids(&directory), ["u"]);
    assert!(directory.snapshot().records.is_empty());
}
