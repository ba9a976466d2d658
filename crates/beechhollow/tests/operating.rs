//! Interfaces for operators: metrics, reports, logs and the configuration check.

mod support;

use bh_testkit::Cluster;
use bh_testkit::EntryOptions;
use bh_testkit::http_raw;
use std::net::UdpSocket;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;
use support::BINARY;
use support::TIMEOUT;
use support::apply_first_settings;
use support::request;
use support::settings;

/// Starts one entry with the additional configuration lines `extra`, and puts settings into force.
fn single_entry_cluster(extra: &str) -> Cluster {
    let mut cluster =
        Cluster::new(BINARY, vec![EntryOptions::new("a1", "a")]).with_config_lines(extra);
    cluster.start_all();
    cluster.wait_ready();
    assert_eq!(cluster.apply("a1", "one", 0, &settings("")).code(), Some(0));
    cluster
}

/// An entry restarts while its own data centre has a quorum but the settings group has none. It cannot know which settings are in force, and must not be
/// ready until it does: otherwise the load balancer sends callers there, and they are told that their customers are unknown.
#[test]
fn an_entry_is_ready_only_once_it_knows_the_settings() {
    let names = [
        ("a1", "a"),
        ("a2", "a"),
        ("a3", "a"),
        ("b1", "b"),
        ("b2", "b"),
    ];
    let options = names.map(|(name, data_centre)| EntryOptions::new(name, data_centre));
    let mut cluster = Cluster::new(BINARY, options.into());
    cluster.start_all();
    apply_first_settings(&cluster);
    for name in ["a3", "b1", "b2", "a1"] {
        cluster.kill(name);
    }
    let left = cluster.http("a2");
    cluster.wait_until("no settings leader is left", TIMEOUT, || {
        http_raw::get(left, "/v1/status").json()["in_force"]["cut_off"] == true
    });
    cluster.start("a1");
    let address = cluster.http("a1");
    let status = || http_raw::get(address, "/v1/status").json();
    let confirmed = |status: &serde_json::Value, group: &str| {
        let groups = status["groups"].as_array().into_iter().flatten();
        let mut confirmed = groups.filter(|view| view["name"] == group);
        confirmed.any(|view| !view["confirmed_ms"].is_null())
    };
    cluster.wait_until("the data centre has a leader", TIMEOUT, || {
        confirmed(&status(), "jobs/a")
    });
    let seen = status();
    assert!(!confirmed(&seen, "settings"), "{seen}");
    assert_eq!(seen["ready"], false, "{seen}");
    assert_eq!(http_raw::get(address, "/readyz").status, 503);
    cluster.start("b1");
    cluster.wait_until("ready", TIMEOUT, || status()["ready"] == true);
    let answer = request(&cluster, "a1", "read", None, "x");
    assert_eq!(answer.code(), Some(200), "{answer:?}");
}

/// Metrics arrive at the StatsD address, tagged with the request's customer, type and result code.
#[test]
fn metrics_arrive_over_udp() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let extra = format!(
        "statsd_address: {}\ntarget_lease_ms: 1500\n",
        socket.local_addr().unwrap()
    );
    let cluster = single_entry_cluster(&extra);
    let _worker = start_worker(&cluster);
    cluster.wait_until("a request is answered", TIMEOUT, || {
        request(&cluster, "a1", "read", None, "x").code() == Some(0)
    });
    let wanted = [
        "beechhollow.requests:1|c",
        "beechhollow.request_ms:",
        "beechhollow.settings_revision:1|g",
    ];
    let mut text = String::new();
    let start = Instant::now();
    while !wanted.iter().all(|line| text.contains(line)) && start.elapsed() < TIMEOUT {
        let mut buffer = [0; 2_048];
        if let Ok(count) = socket.recv(&mut buffer) {
            text.push_str(&String::from_utf8_lossy(&buffer[..count]));
            text.push('\n');
        }
    }
    let all_found = wanted.iter().all(|line| text.contains(line));
    assert!(all_found, "{text}");
    assert!(
        text.contains("customer:lumen")
            && text.contains("type:read")
            && text.contains("code:0")
            && text.contains("entry:a1")
    );
}

/// Starts one worker, and waits until the entry owns it.
fn start_worker(cluster: &Cluster) -> bh_testkit::Worker {
    let options = bh_testkit::worker::WorkerOptions::new("w0", "a", "r0", cluster.entries_of("a"));
    let worker = bh_testkit::Worker::start(options);
    cluster.wait_until("its slots", TIMEOUT, || {
        http_raw::get(cluster.http("a1"), "/v1/status").json()["slots"] == 8
    });
    worker
}

/// The counters of the burn report survive a restart, and its HTML page shows each row.
#[test]
fn the_burn_report_survives_a_restart() {
    let mut cluster = single_entry_cluster("target_lease_ms: 1500\n");
    let _worker = start_worker(&cluster);
    cluster.wait_until("a request is answered", TIMEOUT, || {
        request(&cluster, "a1", "read", None, "x").code() == Some(0)
    });
    let good_requests = |cluster: &Cluster| {
        let report = http_raw::get(cluster.http("a1"), "/v1/reports/burn").json();
        report["rows"][0]["windows"][0]["good"].as_u64()
    };
    let before = good_requests(&cluster);
    assert!(
        before >= Some(1),
        "{}",
        http_raw::get(cluster.http("a1"), "/v1/reports/burn").text()
    );
    cluster.signal("a1", "TERM");
    assert_eq!(cluster.wait_for_exit("a1", TIMEOUT), Some(0));
    cluster.start("a1");
    cluster.wait_ready();
    cluster.wait_until("settings are back", TIMEOUT, || {
        cluster.revision("a1") == Some(1)
    });
    assert_eq!(good_requests(&cluster), before);
    let page = http_raw::get(cluster.http("a1"), "/v1/reports/burn?format=html").text();
    assert!(
        page.contains("lumen / read") && page.contains("<svg"),
        "{page}"
    );
}

/// `check-config` reports every mistake with its line, and exits with the documented status.
#[test]
fn check_config_reports_every_mistake() {
    let folder = std::env::temp_dir().join(format!("bh-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("entry.yaml");
    std::fs::write(&file, "name: a1\nheartbeat: 5\nentries:\n  - {name: a1, data_centre: a, http_address: vm:1, peer_address: '1.2.3.4:5'}\n").unwrap();
    let output = Command::new(BINARY)
        .arg("check-config")
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    // Long lines are wrapped for the terminal.
    let text = String::from_utf8_lossy(&output.stderr).replace('│', " ");
    let text = text.split_whitespace().collect::<Vec<_>>().join(" ");
    assert_eq!(output.status.code(), Some(8), "{text}");
    for part in ["BH500", "entry.yaml:4", "not an IP number", "write it like"] {
        assert!(text.contains(part), "no {part} in {text}");
    }
}

/// With `log_format: json` every log line is valid JSON, and no line contains a token.
#[test]
fn logs_are_json_and_hold_no_token() {
    let cluster = single_entry_cluster("log_format: json\nlog_level: debug\n");
    cluster.wait_until("the change is logged", TIMEOUT, || {
        cluster.logs().contains("settings changed")
    });
    let logs = cluster.logs();
    let lines: Vec<&str> = logs.lines().filter(|line| line.starts_with('{')).collect();
    assert!(!lines.is_empty(), "{logs}");
    for line in lines {
        let parsed: Result<serde_json::Value, _> = serde_json::from_str(line);
        assert!(parsed.is_ok(), "{line}");
    }
    assert!(
        !logs.contains(bh_testkit::cluster::ADMINISTRATOR),
        "a token is in the log"
    );
}
