//! Submissions that are read or arrive after the cancel of their job was acknowledged.
mod support;

use bh_testkit::http_raw;
use bh_testkit::http_raw::RawAnswer;
use bh_testkit::ports;
use serde_json::json;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use support::LeadingCore;
use support::Process;
use support::entry_config;
use support::metric;
use support::start_leading_core;
use support::wait_for_listener;

const JOB: &str = "00000000000000aa";
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a request reaches the socket of a process on the same machine.
const TRANSIT: Duration = Duration::from_millis(200);

/// A core that leads, and entries in front of it.
struct Site {
    core: LeadingCore,
    /// Process, address for callers and address of the metrics.
    entries: Vec<(Process, SocketAddr, SocketAddr)>,
}

impl Site {
    fn start(name: &str, entries: usize, extra_config: &str) -> Self {
        let core = start_leading_core(name, extra_config);
        set_rules(core.control);
        let entries = (0..entries).map(|index| {
            let mut addresses = ports::free(3);
            addresses.push(core.control);
            let config = entry_config(&addresses, core.peer_port);
            let process = Process::start(&format!("{name}-entry-{index}"), &config);
            wait_for_listener(addresses[0]);
            (process, addresses[0], addresses[2])
        });
        let entries = entries.collect();
        let site = Self { core, entries };
        site.wait_until_served();
        site
    }

    /// Waits until every entry serves calls.
    fn wait_until_served(&self) {
        let until = Instant::now() + TIMEOUT;
        for index in 0..self.entries.len() {
            while self.call(index, "GET", "").status != 200 {
                assert!(Instant::now() < until, "an entry doesn't serve calls");
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Calls an entry about a job; about the queue if `job` is empty.
    fn call(&self, entry: usize, method: &str, job: &str) -> RawAnswer {
        self.call_with_deadline(entry, method, job, 3_000)
    }

    fn call_with_deadline(
        &self,
        entry: usize,
        method: &str,
        job: &str,
        deadline_ms: u64,
    ) -> RawAnswer {
        let spec = if method == "POST" {
            job_spec()
        } else {
            String::new()
        };
        let deadline_ms = deadline_ms.to_string();
        let headers = [("deadline-ms", &*deadline_ms)];
        let path = format!("/queue/{job}");
        let address = self.entries[entry].1;
        http_raw::send(address, method, &path, &headers, spec.as_bytes(), TIMEOUT)
    }

    /// Cancels a job that was not submitted yet.
    fn cancel_early(&self, entry: usize) {
        let cancelled = self.call(entry, "DELETE", JOB);
        assert_eq!(cancelled.status, 410, "{cancelled:?}");
    }

    fn check_refused_as_cancelled(&self, submission: &RawAnswer) {
        assert_eq!(submission.status, 410, "{submission:?}");
        assert!(submission.text().contains("cancelled"), "{submission:?}");
        let entry = self.entries.len() - 1;
        assert_eq!(self.call(entry, "GET", JOB).status, 410);
        let refused = metric(self.core.metrics, "submissions_after_cancel_total");
        assert_eq!(refused, Some(1));
    }
}

fn set_rules(control: SocketAddr) {
    let rules = json!({"version": 1,
        "routes": [{"name": "queue", "host": "127.0.0.1", "pathPrefix": "/queue/", "kind": "non_idempotent", "timeoutMs": 3_000,
            "targetLatencyMs": 1_000, "priority": 1, "service": "pool", "maxAttempts": 2, "slackFactor": 3.0, "public": true}],
        "services": [{"name": "pool", "healthPath": "/health", "maxConnections": 64, "enforcesCapacity": false}], "tenants": []});
    let body = rules.to_string();
    let answer = http_raw::send(control, "PUT", "/-/config", &[], body.as_bytes(), TIMEOUT);
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// The largest job that the platform's pages allow.
fn job_spec() -> String {
    let steps = [
        json!({"count": 1, "cpu": 1_000, "requestMemoryMb": 1_000, "gpu": 1, "estimatedMs": 1_000}),
    ];
    json!({"spec": "x".repeat(4_000), "steps": steps}).to_string()
}

/// Guards against a job that runs though its cancel was acknowledged: its submission waited in an entry that stood still, and was read after
/// the cancel.
#[test]
fn a_submission_that_waited_in_an_entry_is_refused_after_its_cancel() {
    let site = Site::start("stopped-entry", 2, "");
    let submission = thread::scope(|scope| {
        site.entries[0].0.signal("STOP");
        let submission = scope.spawn(|| site.call(0, "POST", JOB));
        thread::sleep(TRANSIT);
        site.cancel_early(1);
        site.entries[0].0.signal("CONT");
        submission.join().unwrap()
    });
    site.check_refused_as_cancelled(&submission);
}

/// Guards against a call that is carried out after its caller has given up, because the entry that was to read it stood still.
#[test]
fn a_call_that_waited_for_longer_than_its_caller_is_refused() {
    let site = Site::start("delayed-call", 1, "");
    let submission = thread::scope(|scope| {
        site.entries[0].0.signal("STOP");
        let submission = scope.spawn(|| site.call_with_deadline(0, "POST", JOB, 1_000));
        thread::sleep(Duration::from_millis(1_200));
        site.entries[0].0.signal("CONT");
        submission.join().unwrap()
    });
    assert_eq!(submission.status, 503, "{submission:?}");
    site.wait_until_served();
    assert_eq!(site.call(0, "GET", JOB).status, 410);
    let delayed = metric(site.entries[0].2, "calls_delayed_total");
    assert_eq!(delayed, Some(1));
}

/// Guards against cancels that are lost when all cores are killed, so that a late submission is accepted afterwards.
#[test]
fn a_cancel_outlives_the_loss_of_all_cores() {
    let mut site = Site::start("restarted-core", 1, "");
    site.cancel_early(0);
    site.core.process.restart();
    wait_for_listener(site.core.metrics);
    site.wait_until_served();
    let submission = site.call(0, "POST", JOB);
    site.check_refused_as_cancelled(&submission);
}

/// Guards against cancels that are refused while there is no room for jobs, and against late submissions that are told to come back then.
#[test]
fn a_cancel_is_recorded_while_there_is_no_room_for_jobs() {
    const MAX_JOBS: usize = 2_000;
    let site = Site::start("no-room", 1, "disk_mb: 16\n");
    let mut jobs = (0..MAX_JOBS).map(|job| format!("{job:016x}"));
    assert!(jobs.any(|job| site.call(0, "POST", &job).status == 503));
    let late = "f".repeat(16);
    assert_eq!(site.call(0, "DELETE", &late).status, 410);
    let submission = site.call(0, "POST", &late);
    assert_eq!(submission.status, 410, "{submission:?}");
    let recorded = format!("{:016x}", 1);
    assert_eq!(site.call(0, "DELETE", &recorded).status, 200);
}
