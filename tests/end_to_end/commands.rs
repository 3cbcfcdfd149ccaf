//! Command lines and exit codes.

use std::process::{Command, Output};

use serde_json::{Value, json};

use crate::process::write_json;

const ROUTER: &str = env!("CARGO_BIN_EXE_silverstack-router");
const SIDECAR: &str = env!("CARGO_BIN_EXE_silverstack-sidecar");
const LOCAL: &str = env!("CARGO_BIN_EXE_silverstack-local");

const EXPERIMENT: &str = env!("CARGO_BIN_EXE_silverstack-experiment");

fn run(binary: &str, arguments: &[&str]) -> Output {
    Command::new(binary).args(arguments).output().expect("the binary starts")
}

fn code(binary: &str, arguments: &[&str]) -> Option<i32> {
    run(binary, arguments).status.code()
}

#[test]
fn help_and_version_need_no_settings() {
    for binary in [ROUTER, SIDECAR, LOCAL, EXPERIMENT] {
        assert_eq!(code(binary, &["--help"]), Some(0));
        let version = run(binary, &["--version"]);
        assert_eq!(version.status.code(), Some(0));
        assert!(String::from_utf8_lossy(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
    }
}

#[test]
fn invalid_arguments_and_settings_exit_with_code_2() {
    assert_eq!(code(ROUTER, &[]), Some(2));
    assert_eq!(code(ROUTER, &["--no-such-flag"]), Some(2));
    assert_eq!(code(ROUTER, &["--settings", "/no/such/file"]), Some(2));
    assert_eq!(code(ROUTER, &["--settings", "examples/router.json", "--log", "loud"]), Some(2));
    let mut settings: Value = serde_json::from_str(include_str!("../../examples/router.json"))
        .expect("the example is JSON");
    settings["intents"] = json!("/no/such/file");
    let path = write_json(&settings);
    let output = run(ROUTER, &["--settings", path.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/no/such/file"));
}

#[test]
fn example_settings_are_valid() {
    for (binary, path) in [(ROUTER, "examples/router.json"), (SIDECAR, "examples/sidecar.json")] {
        assert_eq!(code(binary, &["--settings", path, "--check"]), Some(0));
    }
}

#[test]
fn local_binary_loses_no_chat_or_call() {
    let output = run(LOCAL, &["--quiet", "--chats", "6", "--turns", "3"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("18 chat turns and 18 calls answered correctly; 0 failed"), "{text}");
}

#[test]
fn help_of_the_experiment_lists_all_patterns() {
    let output = run(EXPERIMENT, &["--help"]);
    let help = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    let words: Vec<_> = help.split(|c: char| !c.is_ascii_lowercase() && c != '-').collect();
    for pattern in experiment::overload::Pattern::ALL {
        assert!(words.contains(&pattern.name()), "{} is missing:\n{help}", pattern.name());
    }
}

#[test]
fn experiment_runs_known_patterns_and_rejects_unknown_ones() {
    let output = run(EXPERIMENT, &["calm", "--json"]);
    assert_eq!(output.status.code(), Some(0));
    let report: Value = serde_json::from_slice(&output.stdout).expect("a line of JSON");
    assert_eq!(report["pattern"], "calm");
    assert_eq!(report["report"]["expired"], 0);
    let output = run(EXPERIMENT, &["storm"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("engines-lost"));
}
