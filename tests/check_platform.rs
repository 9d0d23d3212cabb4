//! The output of `check --platform` for a settings file of the platform.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

// Faults in lines 1 (no zone), 2, 4 (twice), 11 and 13; the unknown fields in
// lines 3, 6 and 7 are ignored.
const FAULTY: &str = r#"node-name: "front-1"
ip-address: "10.1.0"
new-field: 7
listen-addresses: {front: "nowhere", ready: "10.1.0.39:8227"}
seed-nodes: []
data-directory: null
limits:
  cpu-share: 0.25
bounds:
  retry-budget-ratio: 0.2
  grace-s: soon
  budget-slack: 54
platform: "10.200.1.7:8229"
"#;

const VALID: &str = r#"node-name: "front-1"
ip-address: "10.1.0.39"
zone: "bne"
new-field: {a: [1, 2]}
listen-addresses: {front: "10.1.0.39:8226", ready: "10.1.0.39:8227", control: "10.1.0.39:8224"}
bounds: {grace-s: 6, retry-budget-ratio: 0.2, budget-slack: 54}
platform: {address: "10.200.1.7:8229"}
"#;

const EXIT_FINDINGS: i32 = 3;

fn check(name: &str, text: &str, args: &[&str]) -> Output {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_coltsfootgw"))
        .args(["check", "--platform"])
        .arg(&file)
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn every_finding_is_printed_with_its_line_and_column() {
    let output = check("faulty-text.yaml", FAULTY, &[]);
    let printed = String::from_utf8(output.stderr).unwrap();
    let places: Vec<&str> = printed
        .lines()
        .filter(|line| line.starts_with("error: "))
        .filter_map(|line| line.split_once("faulty-text.yaml: "))
        .filter_map(|(_, rest)| rest.split(": ").next())
        .collect();
    let expected = [
        "line 1, column 1",
        "line 2, column 13",
        "line 4, column 19",
        "line 4, column 27",
        "line 11, column 12",
        "line 13, column 11",
    ];
    assert_eq!(places, expected, "{printed}");
    assert_eq!(output.status.code(), Some(EXIT_FINDINGS));
}

#[test]
fn every_finding_is_printed_as_json() {
    let output = check("faulty-json.yaml", FAULTY, &["--output", "json"]);
    let list: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    let lines: Vec<u64> = list.iter().filter_map(|f| f["line"].as_u64()).collect();
    assert_eq!(lines, [1, 2, 4, 4, 11, 13], "{list:?}");
    assert_eq!(output.status.code(), Some(EXIT_FINDINGS));
}

#[test]
fn a_valid_file_has_no_findings() {
    let text = check("valid-text.yaml", VALID, &[]);
    let json = check("valid-json.yaml", VALID, &["--output", "json"]);
    assert!(text.status.success() && json.status.success());
    let printed = String::from_utf8(text.stdout).unwrap();
    assert!(printed.contains("instance front-1 in bne"), "{printed}");
    assert_eq!(json.stdout, b"[]\n");
}
