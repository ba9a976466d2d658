//! The commands that need no entry. `scripts/demo.sh` covers the rest.

use rstest::rstest;
use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

fn beechctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_beechctl"))
        .args(arguments)
        .env_remove("BEECHHOLLOW_TOKEN")
        .output()
        .expect("beechctl starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Every command has help with an example.
#[rstest]
#[case(&["settings", "apply"])]
#[case(&["settings", "check"])]
#[case(&["settings", "diff"])]
#[case(&["settings", "get"])]
#[case(&["settings", "in-force"])]
#[case(&["job", "submit"])]
#[case(&["job", "status"])]
#[case(&["job", "list"])]
#[case(&["job", "cancel"])]
#[case(&["request"])]
#[case(&["target", "list"])]
#[case(&["status"])]
#[case(&["core", "status"])]
#[case(&["core", "customers"])]
#[case(&["core", "load"])]
#[case(&["core", "explain"])]
#[case(&["core", "late"])]
#[case(&["core", "evacuate"])]
#[case(&["core", "end-evacuation"])]
#[case(&["report", "burn"])]
#[case(&["report", "fragmentation"])]
#[case(&["token", "hash"])]
#[case(&["completion"])]
fn help_has_an_example(#[case] command: &[&str]) {
    let output = beechctl(&[command, &["--help"]].concat());
    assert!(output.status.success());
    assert!(
        text(&output.stdout).contains("Example"),
        "{}",
        text(&output.stdout)
    );
}

/// Each mistake of a settings file is printed with its line and help, as text and as JSON, and sets the exit status.
#[test]
fn settings_check_lists_every_mistake() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("s.yaml");
    std::fs::write(&file, "teams:\n  Mill: {}\n  dairy: {quota: 3}\n").unwrap();
    let path = file.to_str().unwrap();
    let output = beechctl(&["settings", "check", path]);
    assert_eq!(output.status.code(), Some(4));
    let printed = text(&output.stderr);
    assert!(
        printed.contains("s.yaml:2") && printed.contains("s.yaml:3") && printed.contains("BH131"),
        "{printed}"
    );
    let output = beechctl(&["settings", "check", path, "--output", "json"]);
    let printed = text(&output.stderr);
    assert!(
        printed.contains("\"line\": 2")
            && printed.contains("\"line\": 3")
            && printed.contains("\"help\""),
        "{printed}"
    );
    std::fs::write(&file, "teams: {mill: {}}\n").unwrap();
    let output = beechctl(&["settings", "check", path]);
    assert!(output.status.success() && text(&output.stdout).contains("is valid"));
}

/// A missing file, an invalid address and unreachable entries each have their own exit status and result code.
#[rstest]
#[case(&["settings", "check", "/no/such/file"], 8, "BH501")]
#[case(&["status", "--entry", "vm1:8080"], 2, "BH107")]
#[case(&["status", "--entry", "127.0.0.1:1", "--timeout-ms", "500"], 10, "BH600")]
fn failures_have_a_status_and_a_code(
    #[case] arguments: &[&str],
    #[case] status: i32,
    #[case] code: &str,
) {
    let output = beechctl(arguments);
    assert_eq!(
        output.status.code(),
        Some(status),
        "{}",
        text(&output.stderr)
    );
    assert!(
        text(&output.stderr).contains(code),
        "{}",
        text(&output.stderr)
    );
}

/// The token is read from standard input, which keeps it out of process lists, and only its digest is printed.
#[test]
fn tokens_are_hashed_from_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beechctl"))
        .args(["token", "hash"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(b"abc\n").unwrap();
    let output = child.wait_with_output().unwrap();
    // The digest of "abc" in FIPS 180-2.
    assert_eq!(
        text(&output.stdout).trim(),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}

/// The completion script names the commands.
#[test]
fn completion_is_printed() {
    let output = beechctl(&["completion", "bash"]);
    let script = text(&output.stdout);
    assert!(script.contains("in-force") && script.contains("fragmentation"));
    assert!(script.contains("core,customers)") && script.contains("core,load)"));
}
