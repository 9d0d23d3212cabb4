//! The form in which large values are relayed to peers.

use std::fmt::Write;

use clock::Millis;
use discovery::{
    Change, Changes, Compressor, Error, PeerUpdate, Position, Record, RelayState, Snapshot, Update,
};
use rstest::rstest;

const ROUTES: usize = 1_600;
/// Link of the smallest machine, in bits per millisecond.
const LINK_BITS_PER_MS: usize = 14_000;
/// Peers that poll one daemon.
const PEERS: usize = 15;
/// The link may be busy with one change for so long, as it also carries requests.
const LONGEST_MS: usize = 400;

/// A configuration with many routes.
fn configuration() -> Record {
    let mut text = String::new();
    for n in 0..ROUTES {
        let (host, path, service) = (n * 7 % 40, n * 7_919 % 10_007, n * 31 % 60);
        write!(
            text,
            r#"{{"host":"h{host}.example","prefix":"/p{path}x{n}/","service":"s{service}","route-kind":"safe","timeout-ms":1000,"target-latency-ms":100,"priority":1,"max-attempts":2}},"#
        )
        .unwrap();
    }
    Record {
        key: "configuration".to_owned(),
        value: text.into_bytes(),
        revision: 9,
    }
}

fn update(update: Update) -> PeerUpdate {
    PeerUpdate {
        update,
        age: Millis(300),
        lapse_left: Millis(0),
        crashes: Vec::new(),
    }
}

fn changes() -> PeerUpdate {
    let small = Record {
        key: "upstreams/u1".to_owned(),
        value: b"ready".to_vec(),
        revision: 8,
    };
    let deletion = Change::Delete {
        key: "upstreams/u2".to_owned(),
        revision: 10,
    };
    let list = vec![Change::Put(small), Change::Put(configuration()), deletion];
    update(Update::Changes(Changes {
        list,
        at: Position {
            epoch: 2,
            revision: 10,
        },
    }))
}

fn snapshot() -> PeerUpdate {
    update(Update::Snapshot(Snapshot {
        records: vec![configuration()],
        at: Position::default(),
    }))
}

fn read(json: &str) -> Result<PeerUpdate, Error> {
    PeerUpdate::try_from(serde_json::from_str::<RelayState>(json).unwrap())
}

#[rstest]
#[case::changes(changes())]
#[case::snapshot(snapshot())]
fn an_update_is_the_same_in_both_forms(#[case] update: PeerUpdate) {
    let compressor = Compressor::default();
    for accepted in [None, Some(&compressor), Some(&compressor)] {
        let json = serde_json::to_string(&RelayState::new(update.clone(), accepted)).unwrap();
        assert_eq!(read(&json).unwrap(), update);
        assert_eq!(json.contains("deflated"), accepted.is_some());
    }
}

#[test]
fn relaying_a_large_configuration_leaves_the_link_to_requests() {
    let compressor = Compressor::default();
    let state = RelayState::new(changes(), Some(&compressor));
    let bytes = serde_json::to_string(&state).unwrap().len();
    let ms = bytes * PEERS * 8 / LINK_BITS_PER_MS;
    println!("{bytes} bytes, {ms} ms for {PEERS} peers");
    assert!(ms <= LONGEST_MS, "{ms} ms");
}

#[test]
fn a_value_that_changes_is_compressed_anew() {
    let compressor = Compressor::default();
    let mut record = configuration();
    for revision in 1..20 {
        record.revision = revision;
        record.value.push(b'x');
        let sent = update(Update::Snapshot(Snapshot {
            records: vec![record.clone()],
            at: Position::default(),
        }));
        let json = serde_json::to_string(&RelayState::new(sent.clone(), Some(&compressor)));
        assert_eq!(read(&json.unwrap()).unwrap(), sent);
    }
}

#[rstest]
#[case::no_base64("%%%")]
#[case::not_deflated("AAAA")]
fn an_unreadable_value_is_an_error(#[case] deflated: &str) {
    let json = format!(
        r#"{{"revision":1,"is_all":true,"age_ms":0,"lapse_left_ms":0,
            "records":[{{"key":"k","value":null,"deflated":"{deflated}","revision":1}}]}}"#
    );
    assert!(matches!(read(&json), Err(Error::Unavailable { .. })));
}
