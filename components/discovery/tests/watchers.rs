//! Selection of the daemons that watch the store, and the updates they relay.

use std::net::SocketAddr;

use clock::Millis;
use discovery::{
    Change, Changes, CrashEntry, Directory, InstanceEntry, PeerUpdate, Position, Record,
    RelayState, Snapshot, Update, watchers,
};
use rstest::rstest;

#[path = "support/word_decoder.rs"]
mod word_decoder;

use word_decoder::WordDecoder;

fn instance(number: u16, domain: &str) -> InstanceEntry {
    InstanceEntry {
        millicores: 0,
        name: format!("d{number:03}"),
        address: address(number),
        domain: domain.to_owned(),
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn instances(size: u16, domains: &[&str]) -> Vec<InstanceEntry> {
    let domain = |n: u16| domains[usize::from(n) % domains.len()];
    (0..size).map(|n| instance(n, domain(n))).collect()
}

#[rstest]
#[case::all_of_a_small_system(7, &["a", "b", "c", "d"], 7)]
#[case::two_per_domain(80, &["a", "b", "c", "d"], 8)]
#[case::one_per_sixteen_daemons(400, &["a", "b", "c", "d", "e"], 25)]
fn few_daemons_watch_the_store(
    #[case] size: u16,
    #[case] domains: &[&str],
    #[case] expected: usize,
) {
    let all = instances(size, domains);
    let chosen = |i: &InstanceEntry| watchers(all.iter(), i.address);
    let watching: Vec<SocketAddr> = all
        .iter()
        .filter(|i| chosen(i).is_none())
        .map(|i| i.address)
        .collect();
    assert_eq!(watching.len(), expected);
    for daemon in all.iter() {
        for address in chosen(daemon).into_iter().flatten() {
            assert!(watching.contains(&address));
            let domain = &all.iter().find(|i| i.address == address).unwrap().domain;
            assert_eq!(*domain, daemon.domain, "polls within its failure domain");
        }
    }
}

#[test]
fn an_unregistered_daemon_watches_the_store() {
    let all = instances(80, &["a"]);
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
const EPOCH: u64 = 3;

fn at(revision: u64) -> Position {
    Position {
        epoch: EPOCH,
        revision,
    }
}

/// A directory that was read at revision 10 and applied a write and a deletion.
fn watcher() -> Directory {
    let mut directory = Directory::new(std::rc::Rc::new(WordDecoder));
    let records = vec![
        record("u1", "ready 100 1", 3),
        record("u2", "ready 100 1", 4),
    ];
    directory.replace(
        Snapshot {
            records,
            at: at(10),
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
    directory.apply(Changes { list, at: at(12) }, NOW);
    directory
}

#[rstest]
#[case::all_changes(10, false)]
#[case::some_changes(11, false)]
#[case::all_records_if_far_behind(9, true)]
fn a_relayed_update_brings_a_directory_up_to_date(#[case] after: u64, #[case] is_all: bool) {
    let watcher = watcher();
    let update = watcher.update_since(at(after));
    assert_eq!(matches!(update, Update::Snapshot(_)), is_all);
    let sent = PeerUpdate {
        update,
        age: Millis(300),
        lapse_left: Millis(7),
        crashes: vec![CrashEntry {
            fingerprint: u64::MAX,
            upstream: "s/u1@100".to_owned(),
            shard: "s".to_owned(),
            domain: "a".to_owned(),
            alone: true,
            cleared: false,
            crashed_at: Millis(1_770_000_000_000),
        }],
    };
    let json = serde_json::to_string(&RelayState::new(sent.clone(), None)).unwrap();
    let received: RelayState = serde_json::from_str(&json).unwrap();
    let received = PeerUpdate::try_from(received).unwrap();
    assert_eq!(received, sent);

    let mut peer = Directory::new(std::rc::Rc::new(WordDecoder));
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
    peer.replace(
        Snapshot {
            records,
            at: at(after),
        },
        NOW,
    );
    peer.apply_update(received.update, NOW);
    assert_eq!(peer.position(), at(12));
    let actual: Vec<_> = peer.upstreams().collect();
    let expected: Vec<_> = watcher.upstreams().collect();
    assert_eq!(actual, expected);
}

#[test]
fn a_relayed_lapse_defers_deletions() {
    let mut peer = Directory::new(std::rc::Rc::new(WordDecoder));
    let records = vec![record("u1", "ready 100 1", 3)];
    peer.replace(
        Snapshot {
            records,
            at: at(10),
        },
        NOW,
    );
    peer.record_lapse(Millis(2_000), NOW);
    let list = vec![Change::Delete {
        key: "u1".to_owned(),
        revision: 11,
    }];
    peer.apply_update(Update::Changes(Changes { list, at: at(11) }), NOW);
    assert_eq!(peer.upstreams().count(), 1);
    peer.expire(NOW + Millis(2_100));
    assert_eq!(peer.upstreams().count(), 0);
}
