//! Declarations: positions of findings, grouping, and arbitrary input.

use catalog::{MAX_GROUP_UPSTREAMS, Topology, changes_between, parse, render};
use proptest::prelude::*;
use rstest::rstest;
use std::rc::Rc;

const VALID: &str = r#"
services:
  - name: jobs
    deadline_ms: 100
    partitioning: p1
    slots: 2
    connections: 25
    shards:
      - { name: s0, upstreams: [u1, u2] }
    upstreams:
      - { name: u1, address: "127.0.0.1:1", domain: a }
      - { name: u2, address: "127.0.0.1:2", domain: b }
"#;

fn errors(text: &str) -> Vec<String> {
    match parse(text, "f.yaml") {
        Ok(_) => Vec::new(),
        Err(e) => e.list.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn a_valid_file_has_no_findings() {
    let (declared, warnings) = parse(VALID, "f.yaml").unwrap();
    assert_eq!(declared.services[0].shards[0].upstreams, ["u1", "u2"]);
    assert!(warnings.is_empty(), "{warnings:?}");
}

#[rstest]
#[case(
    "slots: 2",
    "slots: 20",
    "f.yaml:7:18: error: services.0.connections: half of 25"
)]
#[case(
    "[u1, u2]",
    "[]",
    "f.yaml:9:32: error: services.0.shards.0.upstreams: shard `s0` has no replicas"
)]
#[case(
    "[u1, u2]",
    "[u1, u9]",
    "upstream `u9` is not declared in this service"
)]
#[case("127.0.0.1:2", "127.0.0.1:1", "address 127.0.0.1:1 is used twice")]
#[case("name: u2", "name: u1", "upstream `u1` is declared twice")]
#[case(
    "deadline_ms: 100",
    "deadline_ms: 0",
    "f.yaml:4:18: error: services.0.deadline_ms: must be from 1"
)]
#[case(
    "slots: 2",
    "slots: 2\n    hedge_percent: 90",
    "services.0.hedge_percent: must be from 0 to 50"
)]
#[case(
    "slots: 2",
    "slotz: 2\n    slots: 2",
    "f.yaml:6:5: error: unknown key `services.0.slotz`"
)]
#[case(
    "name: jobs",
    "name: a/b",
    "f.yaml:3:11: error: services.0.name: must be 1 to 64"
)]
#[case("deadline_ms: 100", "deadline_ms: soon", "f.yaml:4:18: error")]
fn each_error_is_reported_at_its_position(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let found = errors(&VALID.replacen(from, to, 1));
    assert!(found.iter().any(|f| f.contains(expected)), "{found:#?}");
}

#[test]
fn several_errors_are_reported_together() {
    let text = VALID
        .replace("slots: 2", "slots: 20\n    colour: red")
        .replace("deadline_ms: 100", "deadline_ms: 0");
    assert_eq!(errors(&text).len(), 3, "{:#?}", errors(&text));
}

#[test]
fn replicas_in_one_domain_are_a_warning() {
    let (_, warnings) = parse(&VALID.replace("domain: b", "domain: a"), "f.yaml").unwrap();
    assert_eq!(warnings.len(), 1, "{warnings:?}");
}

#[test]
fn changes_are_described_in_sentences() {
    let (old, _) = parse(VALID, "f.yaml").unwrap();
    let mut new = old.clone();
    new.services[0].deadline_ms = clock::Millis(140);
    new.services[0].upstreams[1].drain = true;
    let changes = changes_between(&old, &new);
    let expected =
        "service jobs: deadline 100 ms -> 140 ms, 1 upstream changed (u2), upstream u2 drained";
    assert_eq!(changes, [expected]);
}

fn topology_with(shards: usize, replicas: usize) -> Topology {
    let (mut declared, _) = parse(VALID, "f.yaml").unwrap();
    let service = &mut declared.services[0];
    let name = |s: usize, r: usize| format!("u{s}-{r}");
    service.upstreams = (0..shards * replicas)
        .map(|i| catalog::Upstream {
            name: name(i / replicas, i % replicas),
            address: format!("127.0.0.1:{}", i + 1).parse().unwrap(),
            domain: "a".to_owned(),
            drain: false,
        })
        .collect();
    service.shards = (0..shards)
        .map(|s| catalog::Shard {
            name: format!("s{s}"),
            upstreams: (0..replicas).map(|r| name(s, r)).collect(),
        })
        .collect();
    Topology::new(Rc::new(service.clone()), "blob", 1)
}

#[rstest]
#[case(1, 2, 1)]
#[case(8, 2, 1)]
#[case(20, 2, 3)]
#[case(255, 2, 32)]
fn groups_are_bounded_and_keep_replicas_together(
    #[case] shards: usize,
    #[case] replicas: usize,
    #[case] groups: usize,
) {
    let topology = topology_with(shards, replicas);
    assert_eq!(topology.groups.len(), groups);
    for group in &topology.groups {
        assert!(group.upstreams.len() <= MAX_GROUP_UPSTREAMS);
        for &shard in &group.shards {
            assert!(
                topology.replicas[shard]
                    .iter()
                    .all(|u| group.upstreams.contains(u))
            );
        }
    }
}

proptest! {
    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in "(services|name|shards|: |- |\\[|\\]|\n|  |[a-z0-9]{1,4}|&a|\\*a|\"|\\{|\\}|#){0,60}") {
        let _ = parse(&text, "f.yaml");
    }

    #[test]
    fn a_damaged_file_is_parsed_or_rejected(at in 0..VALID.len(), byte in 32_u8..127) {
        let mut bytes = VALID.as_bytes().to_vec();
        bytes[at] = byte;
        let _ = parse(&String::from_utf8(bytes).unwrap(), "f.yaml");
    }

    #[test]
    fn rendered_declarations_parse_to_the_same_value(ms in 1_u64..60_000, percent in 1_u8..=100, drain: bool) {
        let (mut declared, _) = parse(VALID, "f.yaml").unwrap();
        declared.services[0].deadline_ms = clock::Millis(ms);
        declared.services[0].coverage_percent = percent;
        declared.services[0].upstreams[0].drain = drain;
        let (again, _) = parse(&render(&declared), "f.yaml").unwrap();
        prop_assert_eq!(declared, again);
    }
}
