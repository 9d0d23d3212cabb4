//! Which daemons watch the store, and what they pass on.

use std::net::SocketAddr;

use clock::Millis;
use discovery::{
    Change, Changes, Directory, InstanceEntry, PeerUpdate, Record, RelayState, Snapshot, Update,
    watchers,
};
use rstest::rstest;

#[path = "support/words.rs"]
mod words;

use words::Words;

fn instance(number: u16, domain: &str) -> InstanceEntry {
    InstanceEntry {
        name: format!("d{number:03}"),
        address: address(number),
        domain: domain.to_owned(),
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn fleet(size: u16, domains: &[&str]) -> Vec<InstanceEntry> {
    let domain = |n: u16| domains[usize::from(n) % domains.len()];
    (0..size).map(|n| instance(n, domain(n))).collect()
}

#[rstest]
#[case::two_each(7, &["a", "b", "c", "d"], 7)]
#[case::two_of_many(80, &["a", "b", "c", "d"], 8)]
#[case::more_for_more(400, &["a", "b", "c", "d", "e"], 25)]
fn few_daemons_watch_the_store(
    #[case] size: u16,
    #[case] domains: &[&str],
    #[case] expected: usize,
) {
    let all = fleet(size, domains);
    let own = |i: &InstanceEntry| watchers(all.iter(), i.address);
    let watching: Vec<SocketAddr> = all
        .iter()
        .filter(|i| own(i).is_none())
        .map(|i| i.address)
        .collect();
    assert_eq!(watching.len(), expected);
    for learner in all.iter() {
        for address in own(learner).into_iter().flatten() {
            assert!(watching.contains(&address));
            let domain = &all.iter().find(|i| i.address == address).unwrap().domain;
            assert_eq!(*domain, learner.domain, "learns within its failure domain");
        }
    }
}

#[test]
fn a_daemon_that_is_not_registered_watches_the_store() {
    let all = fleet(80, &["a"]);
    assert_eq!(watchers(all.iter(), address(900)), None);
    assert_eq!(watchers([].iter(), address(0)), None);
}

fn record(key: &str, value: &str, revision: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
        revision,
    }
}

const NOW: Millis = Millis(1_000);

/// A directory read at revision 10 that learned of a change and a deletion.
fn watcher() -> Directory {
    let mut directory = Directory::new(std::rc::Rc::new(Words));
    let records = vec![
        record("u1", "ready 100 1", 3),
        record("u2", "ready 100 1", 4),
    ];
    directory.replace(
        Snapshot {
            records,
            revision: 10,
        },
        NOW,
    );
    let list = vec![
        Change::Put(record("u1", "draining 100 2", 11)),
        Change::Delete {
            key: "u2".to_owned(),
            revision: 12,
        },
    ];
    directory.apply(Changes { list, revision: 12 }, NOW);
    directory
}

#[rstest]
#[case::changes_only(10, false)]
#[case::a_part_of_the_changes(11, false)]
#[case::all_for_one_that_is_far_behind(9, true)]
fn a_learner_gets_to_know_what_its_watcher_knows(#[case] after: u64, #[case] is_all: bool) {
    let watcher = watcher();
    let update = watcher.update_since(after);
    assert_eq!(matches!(update, Update::Snapshot(_)), is_all);
    let told = PeerUpdate {
        update,
        age: Millis(300),
        lapse_left: Millis(7),
    };
    let json = serde_json::to_string(&RelayState::from(told.clone())).unwrap();
    let read: RelayState = serde_json::from_str(&json).unwrap();
    let read = PeerUpdate::try_from(read).unwrap();
    assert_eq!(read, told);

    let mut learner = Directory::new(std::rc::Rc::new(Words));
    let records = match after {
        11 => vec![
            record("u1", "draining 100 2", 11),
            record("u2", "ready 100 1", 4),
        ],
        _ => vec![
            record("u1", "ready 100 1", 3),
            record("u2", "ready 100 1", 4),
        ],
    };
    learner.replace(
        Snapshot {
            records,
            revision: after,
        },
        NOW,
    );
    learner.apply_update(read.update, NOW);
    assert_eq!(learner.revision(), 12);
    let known: Vec<_> = learner.upstreams().collect();
    let expected: Vec<_> = watcher.upstreams().collect();
    assert_eq!(known, expected);
}

#[test]
fn what_may_come_back_is_kept_by_a_learner_too() {
    let mut learner = Directory::new(std::rc::Rc::new(Words));
    let records = vec![record("u1", "ready 100 1", 3)];
    learner.replace(
        Snapshot {
            records,
            revision: 10,
        },
        NOW,
    );
    learner.note_lapse(Millis(2_000), NOW);
    let list = vec![Change::Delete {
        key: "u1".to_owned(),
        revision: 11,
    }];
    learner.apply_update(Update::Changes(Changes { list, revision: 11 }), NOW);
    assert_eq!(learner.upstreams().count(), 1);
    learner.expire(NOW + Millis(2_100));
    assert_eq!(learner.upstreams().count(), 0);
}
