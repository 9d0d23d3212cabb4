//! The output of `check --configuration` for a configuration of the platform.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::{Value, json};
use standins::platform::keys::{with_workspaces, workspace};
use standins::platform::site::configuration;

const EXIT_FINDINGS: i32 = 3;

fn check(name: &str, text: &str, args: &[&str]) -> Output {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_coltsfootgw"))
        .args(["check", "--configuration"])
        .arg(&file)
        .args(args)
        .output()
        .unwrap()
}

fn faulty() -> String {
    let workspaces = [
        workspace("one", &["secret"]),
        workspace("two", &["secret"]),
        json!({ "name": "three", "rate-per-s": -1 }),
    ];
    let mut faulty = with_workspaces(configuration(4, 1), &workspaces);
    faulty["routes"][0]["route-kind"] = json!("unknown");
    faulty.to_string()
}

/// Guards against a check that stops at the first finding or shows a key.
#[test]
fn all_findings_of_a_configuration_are_printed() {
    let text = check("faulty.json", &faulty(), &[]);
    let printed = String::from_utf8(text.stderr).unwrap();
    let expected = [
        "route search: unknown route-kind",
        "workspace two: api-keys",
        "workspace three: rate-per-s",
    ];
    for finding in expected {
        assert!(printed.contains(finding), "{printed}");
    }
    assert_eq!(printed.lines().count(), expected.len(), "{printed}");
    assert!(!printed.contains("secret"), "{printed}");
    assert_eq!(text.status.code(), Some(EXIT_FINDINGS));
    let output = check("faulty-list.json", &faulty(), &["--output", "json"]);
    let list: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(list.len(), expected.len(), "{list:?}");
    assert_eq!(output.status.code(), Some(EXIT_FINDINGS));
}

/// Guards against a finding without its place.
#[test]
fn text_that_is_no_configuration_is_located() {
    let args = ["--output", "json"];
    let output = check("broken.json", "{\n \"version\": x }", &args);
    let list: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!((&list[0]["line"], list.len()), (&json!(2), 1), "{list:?}");
    assert_eq!(output.status.code(), Some(EXIT_FINDINGS));
}

/// Guards against a workspace that nobody can use and nobody is told of.
#[test]
fn a_workspace_without_keys_is_a_warning() {
    let workspaces = [workspace("one", &["k"]), workspace("two", &[])];
    let valid = with_workspaces(configuration(4, 7), &workspaces).to_string();
    let output = check("keyless.json", &valid, &[]);
    let printed = String::from_utf8(output.stdout).unwrap();
    let warning = "warning: workspace two: api-keys is empty";
    assert!(printed.contains(warning), "{printed}");
    let summary = "version 7, 4 routes, 2 workspaces, 1 warnings";
    assert!(printed.contains(summary), "{printed}");
    assert!(output.status.success());
}
