//! The processes of a deployment, as an operator starts and stops them.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_testkit::http_raw;
use bh_testkit::ports;
use std::io::Read;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

/// An entry is told to stop. Its log, read to the end, must say that it started, drained and ended: an engineer who finds the last line
/// missing would take it for a crash. Its metrics are served until then.
#[test]
fn the_last_lines_of_a_process_are_written() {
    let folder = folder_of_this_run();
    let addresses = ports::free(4);
    let config = folder.join("entry.yaml");
    let text = format!(
        "name: entry\nrole: entry\ndata_centre: dc\nip: 127.0.0.1\npeer_port: 1\ncallers_address: {}\nreadiness_address: {}\n\
         metrics_address: {}\nseeds: '{}'\ngrace_s: 1\n",
        addresses[0], addresses[1], addresses[2], addresses[3]
    );
    std::fs::write(&config, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_beechhollow"))
        .args(["serve", "--config"])
        .arg(&config)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    thread::sleep(Duration::from_millis(500));
    let refused = http_raw::get(addresses[0], "/queue/00000000000000ab");
    assert_eq!(refused.status, 503);
    let metrics = http_raw::get(addresses[2], "/metrics").text();
    assert!(metrics.contains("calls_unavailable_total 1"), "{metrics}");
    let stopped = Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .unwrap();
    assert!(stopped.success());
    let mut output = String::new();
    child
        .stdout
        .take()
        .unwrap()
        .read_to_string(&mut output)
        .unwrap();
    assert!(child.wait().unwrap().success());
    for line in ["entry starts", "entry drains", "entry ends"] {
        assert!(output.contains(line), "no `{line}` in\n{output}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

fn folder_of_this_run() -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("beechhollow-serve-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}
