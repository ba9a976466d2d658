//! The time at which a core records changes.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]
mod support;

use bh_testkit::http_raw;
use serde_json::Value;
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use support::start_leading_core;

/// How far the recorded time may be behind, in milliseconds.
const MAX_LAG_MS: u64 = 500;

fn wall_ms() -> u64 {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(since_1970.as_millis()).unwrap()
}

fn set_rules(control: SocketAddr, version: u64) {
    let rules = json!({"version": version, "routes": [], "services": [], "tenants": []});
    let body = rules.to_string();
    let timeout = Duration::from_secs(3);
    let answer = http_raw::send(control, "PUT", "/-/config", &[], body.as_bytes(), timeout);
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Guards against rules that take effect at a time long past, so that a job that they end is forgotten at once.
#[test]
fn rules_are_recorded_at_the_current_time() {
    let core = start_leading_core("record-time", "");
    for version in [1, 2] {
        let sent_ms = wall_ms();
        set_rules(core.control, version);
        let status: Value = http_raw::get(core.metrics, "/v1/status").json();
        assert_eq!(status["rules_version"], version);
        let recorded_ms = status["recorded_ms"].as_u64().unwrap();
        assert!(recorded_ms + MAX_LAG_MS >= sent_ms, "{status}");
        thread::sleep(Duration::from_millis(3 * MAX_LAG_MS));
    }
}
