//! Evacuations in the directory: a failure domain is neither used too early nor
//! forgotten, whoever sends the records and in which order.

use std::rc::Rc;

use clock::Millis;
use discovery::{Change, Changes, Directory, Position, Record, Snapshot};

#[path = "support/word_decoder.rs"]
mod word_decoder;

use word_decoder::WordDecoder;

const NOW: Millis = Millis(1_000);

fn evacuation(domain: &str, revision: u64) -> Record {
    Record {
        key: domain.to_owned(),
        value: b"evacuate".to_vec(),
        revision,
    }
}

fn delete(domain: &str, revision: u64) -> Change {
    Change::Delete {
        key: domain.to_owned(),
        revision,
    }
}

fn apply(directory: &mut Directory, list: Vec<Change>, revision: u64) -> bool {
    let at = Position { epoch: 0, revision };
    directory.apply(Changes { list, at }, NOW)
}

fn evacuated(directory: &Directory) -> Vec<&str> {
    directory.evacuated().collect()
}

fn directory() -> Directory {
    let mut directory = Directory::new(Rc::new(WordDecoder));
    assert!(apply(
        &mut directory,
        vec![Change::Put(evacuation("a", 4))],
        5
    ));
    assert_eq!(evacuated(&directory), ["a"]);
    directory
}

#[test]
fn an_evacuation_lasts_until_its_key_is_deleted() {
    let mut directory = directory();
    let rewritten = vec![Change::Put(evacuation("a", 6))];
    assert!(!apply(&mut directory, rewritten, 6), "nothing has changed");
    assert!(!apply(&mut directory, vec![delete("a", 5)], 6));
    assert_eq!(evacuated(&directory), ["a"], "written again since");
    assert!(apply(&mut directory, vec![delete("a", 7)], 7));
    assert!(evacuated(&directory).is_empty());
}

/// Records under leases are kept after an outage, as they may have expired. An evacuation
/// that was removed meanwhile would last longer than the operator asked for.
#[test]
fn an_evacuation_that_was_removed_in_an_outage_ends_at_once() {
    let mut directory = directory();
    directory.record_reconnect(NOW);
    assert!(apply(&mut directory, vec![delete("a", 7)], 7));
    assert!(evacuated(&directory).is_empty());
}

#[test]
fn an_evacuation_that_a_restored_store_lacks_ends_at_once() {
    let mut directory = directory();
    let restored = Snapshot {
        records: vec![evacuation("b", 2)],
        at: Position {
            epoch: 1,
            revision: 3,
        },
    };
    assert!(directory.replace(restored, NOW));
    assert_eq!(evacuated(&directory), ["b"]);
}

/// The answers of two sources can arrive in either order: without the check the domain
/// would stay evacuated for good, as its key is not deleted again.
#[test]
fn a_peer_that_lags_behind_does_not_bring_an_ended_evacuation_back() {
    let mut directory = directory();
    apply(&mut directory, vec![delete("a", 7)], 7);
    let late = vec![Change::Put(evacuation("a", 4))];
    assert!(!apply(&mut directory, late, 6));
    assert!(evacuated(&directory).is_empty());
    let again = vec![Change::Put(evacuation("a", 8))];
    assert!(apply(&mut directory, again, 8));
    assert_eq!(evacuated(&directory), ["a"]);
}

#[test]
fn a_peer_learns_of_evacuations_and_of_their_end() {
    let mut sender = directory();
    let mut receiver = Directory::new(Rc::new(WordDecoder));
    let update = sender.update_since(Position::default());
    assert!(receiver.apply_update(update, NOW));
    assert_eq!(evacuated(&receiver), ["a"]);
    apply(&mut sender, vec![delete("a", 7)], 7);
    let update = sender.update_since(receiver.position());
    assert!(receiver.apply_update(update, NOW));
    assert!(evacuated(&receiver).is_empty());
}
