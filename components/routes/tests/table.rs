//! Tests of routing, traffic splits and the required coverage of searches.

use std::rc::Rc;

use clock::Millis;
use routes::{
    Configuration, Delivery, Gather, KeyDigest, Route, Splitter, Table, Target, WeightedService,
    Workspace,
};
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        is_public: false,
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        delivery: Delivery::Idempotent,
        timeout: Millis(1_000),
        objective: Millis(100),
        priority: 0,
        attempts: 2,
        target: Target::Service("s".to_owned()),
    }
}

fn table() -> Table {
    Table::new(&Configuration {
        version: 3,
        routes: vec![
            route("all", "a.example", "/"),
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        ..Configuration::default()
    })
}

#[rstest]
#[case("a.example", "/x/y/z", Some("long"))]
#[case("a.example", "/x/y", Some("short"))]
#[case("a.example", "/x/yy/z", Some("short"))]
#[case("a.example", "/q", Some("all"))]
#[case("A.Example:8080", "/x/", Some("short"))]
#[case("b.example", "/x/1", Some("other"))]
#[case("b.example", "/y/1", None)]
#[case("c.example", "/x/", None)]
#[case("a.example", "", None)]
fn longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let found = table().find(host, path);
    assert_eq!(found.as_ref().map(|e| e.route.name.as_str()), name);
}

#[test]
fn split_is_proportional_to_the_weights() {
    let weighted = |service: &str, weight| WeightedService {
        service: service.to_owned(),
        weight,
    };
    let services = [weighted("a", 3.0), weighted("b", 1.0), weighted("c", 0.0)];
    let splitter = Splitter::default();
    let chosen: Vec<&str> = (0..100).filter_map(|_| splitter.next(&services)).collect();
    let count = |name| chosen.iter().filter(|s| **s == name).count();
    assert_eq!((count("a"), count("b"), count("c")), (75, 25, 0));
    assert!(chosen.chunks(4).all(|chunk| chunk.contains(&"b")));
    assert_eq!(Splitter::default().next(&[weighted("a", 0.0)]), None);
}

#[rstest]
#[case(10, 0.89, 9)]
#[case(10, 0.75, 8)]
#[case(10, 0.7, 7)]
#[case(15, 0.89, 14)]
#[case(1, 0.0, 1)]
fn required_shards_are_rounded_up(
    #[case] total: usize,
    #[case] min_coverage: f64,
    #[case] required: usize,
) {
    let gather = Gather {
        shards: vec![String::new(); total],
        top_k: 5,
        min_coverage,
    };
    assert_eq!(gather.required_shards(), required);
}

/// A new configuration and a restart make a new splitter, so that the first
/// requests of many daemons count as much as a long run of one.
#[test]
fn the_first_requests_of_many_splitters_are_proportional_to_the_weights() {
    const SPLITTERS: usize = 2_000;
    // The rule allows a share to be off by this much.
    const TOLERANCE: f64 = 0.2;
    let weighted = |service: &str, weight| WeightedService {
        service: service.to_owned(),
        weight,
    };
    let services = [weighted("a", 0.75), weighted("b", 0.25)];
    let first = |_: &usize| Splitter::default().next(&services) == Some("b");
    let count = (0..SPLITTERS).filter(first).count();
    let share = count as f64 / SPLITTERS as f64;
    assert!((share - 0.25).abs() < TOLERANCE, "{share}");
}

fn workspace(name: &str, keys: &[&str]) -> Rc<Workspace> {
    Rc::new(Workspace {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        priority: None,
        quota: None,
    })
}

#[rstest]
#[case::first_key("k1", Some("one"))]
#[case::second_key("k2", Some("one"))]
#[case::other_workspace("k3", Some("two"))]
#[case::unknown("k4", None)]
#[case::part_of_a_key("k", None)]
#[case::empty("", None)]
fn a_key_belongs_to_the_workspace_that_lists_it(#[case] key: &str, #[case] expected: Option<&str>) {
    let table = Table::new(&Configuration {
        workspaces: Some(vec![
            workspace("one", &["k1", "k2"]),
            workspace("two", &["k3"]),
        ]),
        ..Configuration::default()
    });
    assert!(table.requires_keys());
    let found = table.find_workspace(&KeyDigest::of(key.as_bytes()));
    assert_eq!(found.as_ref().map(|w| &*w.name), expected);
}

// A list that becomes empty must not open the routes to everybody.
#[test]
fn an_empty_list_of_workspaces_still_requires_keys() {
    let table = Table::new(&Configuration {
        workspaces: Some(Vec::new()),
        ..Configuration::default()
    });
    assert!(table.requires_keys());
    assert!(!Table::new(&Configuration::default()).requires_keys());
}
