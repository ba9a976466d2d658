//! The disk of a core under many large changes.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]
mod support;

use bh_testkit::http_raw;
use bh_testkit::http_raw::RawAnswer;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use support::LeadingCore;
use support::start_leading_core;

/// Smallest disk that a core runs on, in megabytes.
const DISK_MB: u64 = 16;
const BYTES_PER_MB: u64 = 1_000_000;
/// Queues of large rules, which take some 300 KB.
const QUEUES: usize = 1_300;
/// Versions of large rules that are set; all of them together take more than the disk several times over.
const VERSIONS: u64 = 150;
const TIMEOUT: Duration = Duration::from_secs(10);

fn rules(version: u64, queues: usize) -> Value {
    let queue = |number: usize| {
        json!({"name": format!("queue-{number}"), "host": "queue.example", "pathPrefix": format!("/queue-{number}/"), "kind": "non_idempotent",
            "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 1, "service": "pool", "maxAttempts": 2, "slackFactor": 3.0, "public": false})
    };
    let queues: Vec<Value> = (0..queues).map(queue).collect();
    json!({"version": version, "routes": queues, "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 64, "enforcesCapacity": false}],
        "tenants": []})
}

fn call(control: SocketAddr, method: &str, body: &str) -> RawAnswer {
    http_raw::send(control, method, "/-/config", &[], body.as_bytes(), TIMEOUT)
}

/// Sends rules as an operator does: again, while the outcome is unknown because the disk is slow.
fn put(control: SocketAddr, body: &str) {
    const OUTCOME_UNKNOWN: u16 = 504;
    let until = Instant::now() + 2 * TIMEOUT;
    loop {
        let answer = call(control, "PUT", body);
        if answer.status == 200 {
            return;
        }
        assert_eq!(answer.status, OUTCOME_UNKNOWN, "{answer:?}");
        assert!(Instant::now() < until, "the rules are not acknowledged");
    }
}

/// Size of all files in a folder, in bytes.
fn folder_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).unwrap().map(Result::unwrap);
    // A temporary file may be renamed meanwhile.
    let sizes = files.filter_map(|file| Some(file.metadata().ok()?.len()));
    sizes.sum()
}

fn start_small_core(name: &str) -> LeadingCore {
    start_leading_core(name, &format!("disk_mb: {DISK_MB}\n"))
}

/// Guards against large rules in quick succession that fill the disk of a core, after which it answers nothing.
#[test]
fn large_rules_in_series_stay_under_half_of_the_disk() {
    let core = start_small_core("large-rules");
    let folder = core.process.folder().join("data");
    let mut peak = 0;
    for version in 1..=VERSIONS {
        put(core.control, &rules(version, QUEUES).to_string());
        peak = peak.max(folder_bytes(&folder));
    }
    assert!(peak <= DISK_MB * BYTES_PER_MB / 2, "{peak} bytes");
    let in_force = call(core.control, "GET", "");
    assert_eq!(in_force.json()["version"], VERSIONS);
    let status = http_raw::get(core.metrics, "/v1/status").json();
    assert_eq!(status["low_on_space"], false);
    assert!(status["snapshot_bytes"].as_u64().unwrap() > 0, "{status}");
    assert!(status["journal_bytes"].as_u64().unwrap() < peak, "{status}");
}

/// Guards against rules that are larger than a core can store: they are refused at once, and those in force stay.
#[test]
fn rules_over_the_limit_are_refused() {
    let core = start_small_core("oversized-rules");
    let answer = call(core.control, "PUT", &rules(1, 2).to_string());
    assert_eq!(answer.status, 200, "{answer:?}");
    let answer = call(core.control, "PUT", &rules(2, 3 * QUEUES).to_string());
    assert_eq!(answer.status, 400, "{answer:?}");
    assert!(
        answer.text().contains("larger than 500000 bytes"),
        "{answer:?}"
    );
    assert_eq!(call(core.control, "GET", "").json()["version"], 1);
}
