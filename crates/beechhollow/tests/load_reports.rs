//! Reports of cores on the load by customer and by queue, from real processes.
mod support;

use bh_testkit::http_raw;
use bh_testkit::http_raw::RawAnswer;
use bh_testkit::ports;
use serde_json::Value;
use serde_json::json;
use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::LeadingCore;
use support::Process;
use support::TIMEOUT;
use support::entry_config;
use support::metric;
use support::start_leading_core;
use support::wait_for_listener;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of the result code for a core that does not lead.
const NO_QUORUM: u32 = 203;
const REPORTS: [&str; 2] = ["/v1/customers", "/v1/load"];

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends a call of the customer `mill`.
fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> RawAnswer {
    let headers = [
        ("authorization", "Bearer key-mill"),
        ("deadline-ms", "3000"),
    ];
    let body = body.to_string();
    http_raw::send(
        address,
        method,
        path,
        &headers,
        body.as_bytes(),
        CALL_TIMEOUT,
    )
}

/// Rules with one queue and the given customers.
fn rules(version: u64, customers: &[&str]) -> Value {
    let customers: Vec<Value> = customers
        .iter()
        .map(|name| json!({"name": name, "apiKeys": [format!("key-{name}")], "guaranteed": {"gpu": 16}}))
        .collect();
    json!({"version": version, "routes": [{"name": "queue", "host": "127.0.0.1", "pathPrefix": "/queue/", "kind": "non_idempotent",
            "timeoutMs": 3_000, "targetLatencyMs": 1_000, "priority": 1, "service": "pool", "maxAttempts": 2, "slackFactor": 3.0, "public": false}],
        "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 64, "enforcesCapacity": false}],
        "tenants": customers})
}

fn job(tasks: usize) -> Value {
    json!({"spec": "text", "steps": [{"count": tasks, "cpu": 1_000, "requestMemoryMb": 1_024, "gpu": 1, "estimatedMs": 4_000}]})
}

/// Starts an entry of the core's deployment. Returns it and its address for callers.
fn start_entry(name: &str, core: &LeadingCore) -> (Process, SocketAddr) {
    let addresses = ports::free(3);
    let config = entry_config(
        &[addresses[0], addresses[1], addresses[2], core.control],
        core.peer_port,
    );
    let entry = Process::start(name, &config);
    wait_for_listener(addresses[0]);
    (entry, addresses[0])
}

/// Returns the row of a report's list in which `key` is `name`.
fn row(report: &RawAnswer, list: &str, (key, name): (&str, &str)) -> Value {
    let report = report.json();
    let mut rows = report[list].as_array().into_iter().flatten();
    let found = rows.find(|row| row[key] == name);
    found
        .unwrap_or_else(|| panic!("no {name} in {report}"))
        .clone()
}

/// The load of a customer is in the reports, the metrics and the log lines, and stays in the report after the customer is removed from the
/// rules: an operator could not tell otherwise whose jobs take the capacity.
#[test]
fn an_operator_sees_whose_load_it_is() {
    let mut core = start_leading_core("load-core", "");
    let (_entry, callers) = start_entry("load-entry", &core);
    let set_rules = |rules: &Value| call(core.control, "PUT", "/-/config", rules).status == 200;
    wait_until("the rules are accepted", || {
        set_rules(&rules(1, &["mill", "quarry"]))
    });
    let path = "/queue/00000000000000aa";
    for _ in 0..2 {
        wait_until("the job is accepted", || {
            call(callers, "POST", path, &job(3)).status == 200
        });
    }
    let malformed = json!({"steps": []});
    let refused = call(callers, "POST", "/queue/00000000000000bb", &malformed);
    assert_eq!(refused.status / 100, 4, "{refused:?}");

    let customers = http_raw::get(core.metrics, REPORTS[0]);
    let mill = row(&customers, "customers", ("customer", "mill"));
    assert_eq!(
        (&mill["waiting_jobs"], &mill["waiting_tasks"]),
        (&json!(1), &json!(3))
    );
    assert_eq!(
        (&mill["is_in_rules"], &mill["guaranteed_accelerators"]),
        (&json!(true), &json!(16))
    );
    let quarry = row(&customers, "customers", ("customer", "quarry"));
    assert_eq!(quarry["active_jobs"], 0);
    let load = http_raw::get(core.metrics, REPORTS[1]);
    let queue = row(&load, "queues", ("queue", "queue"));
    assert_eq!(
        (&queue["waiting_tasks"], &queue["pool"]),
        (&json!(3), &json!("pool"))
    );
    let of_mill = |name: &str| metric(core.metrics, &format!("{name}{{customer=\"mill\"}}"));
    assert_eq!(of_mill("customer_tasks_waiting"), Some(3));
    assert_eq!(of_mill("customer_runs"), Some(0));
    assert_eq!(of_mill("customer_submissions_refused_total"), Some(1));

    assert!(set_rules(&rules(2, &["quarry"])));
    let customers = http_raw::get(core.metrics, REPORTS[0]);
    let mill = row(&customers, "customers", ("customer", "mill"));
    assert_eq!(
        (&mill["is_in_rules"], &mill["waiting_tasks"]),
        (&json!(false), &json!(3))
    );
    assert_eq!(of_mill("customer_tasks_waiting"), Some(3));

    assert!(set_rules(&rules(3, &["mill"])));
    assert_eq!(call(callers, "DELETE", path, &Value::Null).status, 200);
    wait_until("the end is logged", || {
        metric(core.metrics, "jobs_over_total") == Some(1)
    });
    core.process.terminate();
    let mut log = String::new();
    let mut stdout = core.process.child.stdout.take().unwrap();
    stdout.read_to_string(&mut log).unwrap();
    for message in ["job accepted", "job refused", "job over"] {
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(message)).collect();
        assert_eq!(lines.len(), 1, "`{message}` in\n{log}");
        assert!(lines[0].contains("customer=mill"), "{}", lines[0]);
    }
}

/// A core that knows of no leader says so, instead of reporting the load from a record that may be outdated.
#[test]
fn a_core_without_a_leader_reports_no_load() {
    let addresses = ports::free(3);
    let config = format!(
        "name: core\nrole: core\ndata_centre: dc\nip: 127.0.0.1\npeer_port: {}\ncontrol_address: {}\nmetrics_address: {}\n\
         data_folder: FOLDER\nseeds: '{}'\ngrace_s: 1\n",
        addresses[2].port(),
        addresses[0],
        addresses[1],
        addresses[0],
    );
    let _core = Process::start("leaderless-core", &config);
    wait_for_listener(addresses[1]);
    for path in REPORTS {
        let answer = http_raw::get(addresses[1], path);
        assert_eq!((answer.status, answer.code()), (503, Some(NO_QUORUM)));
        assert!(
            answer.text().contains("it knows of no leader"),
            "{answer:?}"
        );
    }
    let metrics = http_raw::get(addresses[1], "/metrics").text();
    assert!(!metrics.contains("customer="), "{metrics}");
}

/// A core that does not lead says which one does, so that the operator can ask that one.
#[test]
fn a_core_that_does_not_lead_names_the_leader() {
    let leader = start_leading_core("named-leader", "");
    let address: SocketAddr = ([127, 0, 0, 2], leader.peer_port).into();
    let metrics = ports::free(1)[0];
    let config = format!(
        "name: other\nrole: core\ndata_centre: dc\nip: {}\npeer_port: {}\ncontrol_address: {}\nmetrics_address: {metrics}\n\
         data_folder: FOLDER\nseeds: '{}'\ngrace_s: 1\n",
        address.ip(),
        address.port(),
        SocketAddr::new(address.ip(), leader.control.port()),
        leader.control,
    );
    let _other = Process::start("other-core", &config);
    wait_for_listener(metrics);
    let expected = format!("127.0.0.1:{} does", leader.peer_port);
    for path in REPORTS {
        wait_until("the leader is named", || {
            let answer = http_raw::get(metrics, path);
            assert_eq!(answer.code(), Some(NO_QUORUM), "{answer:?}");
            answer.text().contains(&expected)
        });
    }
}
