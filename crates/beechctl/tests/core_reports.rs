//! The commands that read a core's reports on the load, against a stand-in for the core.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use rstest::rstest;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::thread;

/// Customers as a core reports them that determines no shares, no displacements and no refusals: one in the rules, one that was removed, and
/// callers who were not identified.
const CUSTOMERS: &str = r#"{"core":"core1","term":7,"accelerators":64,"customers":[
    {"customer":"mill","is_in_rules":true,"guaranteed_accelerators":32,"active_jobs":3,"waiting_jobs":1,"waiting_tasks":13,"runs":5,"accelerators":20},
    {"customer":"quarry","is_in_rules":false,"guaranteed_accelerators":0,"active_jobs":1,"waiting_jobs":0,"waiting_tasks":0,"runs":2,"accelerators":2},
    {"customer":null,"is_in_rules":false,"guaranteed_accelerators":0,"active_jobs":0,"waiting_jobs":0,"waiting_tasks":0,"runs":1,"accelerators":1}]}"#;
/// A customer with all figures.
const FULL_CUSTOMERS: &str = r#"{"core":"core1","term":7,"accelerators":64,"customers":[
    {"customer":"mill","is_in_rules":true,"guaranteed_accelerators":32,"active_jobs":3,"waiting_jobs":1,"waiting_tasks":13,"runs":5,"accelerators":20,
    "decayed_share":0.3125,"entitled_share":0.5,"displaced_runs":4,"refused_submissions":9}]}"#;
const LOAD: &str = r#"{"core":"core1","term":7,"queues":[
    {"queue":"urgent","priority":0,"pool":"large","is_in_rules":true,"active_jobs":3,"waiting_jobs":1,"waiting_tasks":13,"runs":5,"accelerators":20},
    {"queue":"old","priority":2,"pool":"large","is_in_rules":false,"active_jobs":1,"waiting_jobs":1,"waiting_tasks":4,"runs":0,"accelerators":0}]}"#;
const FULL_LOAD: &str = r#"{"core":"core1","term":7,"shedding_level":3,"queues":[
    {"queue":"urgent","priority":0,"pool":"large","is_in_rules":true,"active_jobs":3,"waiting_jobs":1,"waiting_tasks":13,"runs":5,"accelerators":20,
    "expected_wait_ms":2700,"refused_submissions":9}]}"#;
/// Answer of a core that does not lead.
const NOT_LEADING: &str = r#"{"code":203,"title":"This data centre cannot reach a quorum for the change",
    "label":"this core does not lead; 10.1.0.23:7080 does","help":"","ran":"no"}"#;

/// Runs a command against a core that gives one answer with the result code `code`. Returns its output and the path that it asked for.
fn run(command: &[&str], code: u32, body: &'static str) -> (Output, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let core = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut request, mut chunk) = (Vec::new(), [0; 1_024]);
        while !request.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut chunk).unwrap();
            assert!(count > 0, "the request ends early");
            request.extend_from_slice(&chunk[..count]);
        }
        let length = body.len();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-result-code: {code}\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(answer.as_bytes()).unwrap();
        let request = String::from_utf8(request).unwrap();
        request.split(' ').nth(1).unwrap().to_owned()
    });
    let output = Command::new(env!("CARGO_BIN_EXE_beechctl"))
        .args(command)
        .args(["--entry", &address])
        .output()
        .unwrap();
    (output, core.join().unwrap())
}

/// Returns the cells of the printed row that starts with `name`. Cells are separated by at least two spaces.
fn row(output: &Output, name: &str) -> Vec<String> {
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    let cells = line.split("  ").map(str::trim);
    let filled = cells.filter(|cell| !cell.is_empty());
    filled.map(str::to_owned).collect()
}

/// Guards against a command that fails, or prints a misleading 0, for figures that a core does not determine, and against customers that
/// look as if they were in the rules after their removal.
#[test]
fn customers_are_printed_with_missing_figures_marked() {
    let (output, path) = run(&["core", "customers"], 0, CUSTOMERS);
    assert_eq!(path, "/v1/customers");
    let mill = ["mill", "32", "20", "-", "-", "3", "1", "13", "5", "-", "-"];
    assert_eq!(row(&output, "mill"), mill);
    assert_eq!(row(&output, "quarry")[0], "quarry (removed)");
    assert_eq!(row(&output, "nobody")[0], "nobody");
    assert_eq!(
        row(&output, "core"),
        ["core core1 leads in term 7; 64 accelerators in all"]
    );
    let (output, _) = run(&["core", "customers"], 0, FULL_CUSTOMERS);
    let mill = [
        "mill", "32", "20", "31.2%", "50.0%", "3", "1", "13", "5", "4", "9",
    ];
    assert_eq!(row(&output, "mill"), mill);
}

/// The same for queues and the shedding level.
#[test]
fn queues_are_printed_with_missing_figures_marked() {
    let (output, path) = run(&["core", "load"], 0, LOAD);
    assert_eq!(path, "/v1/load");
    let urgent = ["urgent", "0", "large", "3", "1", "13", "5", "20", "-", "-"];
    assert_eq!(row(&output, "urgent"), urgent);
    assert_eq!(row(&output, "old")[0], "old (removed)");
    assert_eq!(
        row(&output, "core"),
        ["core core1 leads in term 7; load shedding level -"]
    );
    let (output, _) = run(&["core", "load"], 0, FULL_LOAD);
    let urgent = [
        "urgent", "0", "large", "3", "1", "13", "5", "20", "2700", "9",
    ];
    assert_eq!(row(&output, "urgent"), urgent);
    assert_eq!(
        row(&output, "core"),
        ["core core1 leads in term 7; load shedding level 3"]
    );
}

/// Guards against JSON whose fields differ from those that the core sends: programs read both.
#[rstest]
#[case("customers", FULL_CUSTOMERS)]
#[case("load", FULL_LOAD)]
fn json_has_the_fields_of_the_core(#[case] command: &str, #[case] body: &'static str) {
    let (output, _) = run(&["core", command, "--output", "json"], 0, body);
    assert!(output.status.success(), "{output:?}");
    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let sent: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(printed, sent);
}

/// Guards against an empty report, or exit status 0, from a core that does not lead: the command says which core to call.
#[rstest]
#[case("customers")]
#[case("load")]
fn a_core_that_does_not_lead_is_a_failure(#[case] command: &str) {
    let (output, _) = run(&["core", command], 203, NOT_LEADING);
    assert_eq!(output.status.code(), Some(5));
    assert!(output.stdout.is_empty());
    let printed = String::from_utf8(output.stderr).unwrap();
    assert!(printed.contains("BH203") && printed.contains("10.1.0.23:7080"));
}
