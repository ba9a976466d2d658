//! Helpers shared by the tests of whole clusters. An entry is the process of a VM that takes callers' requests; a core is a process that keeps
//! the replicated record and may lead.
#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses a part of it"
)]

mod processes;

use bh_testkit::Cluster;
use bh_testkit::EntryOptions;
use bh_testkit::Faults;
use bh_testkit::Worker;
use bh_testkit::cluster::ADMINISTRATOR_SHA256;
use bh_testkit::http_raw;
use bh_testkit::http_raw::RawAnswer;
use bh_testkit::worker::WorkerOptions;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub use processes::GroupCore;
pub use processes::LeadingCore;
pub use processes::Process;
pub use processes::entry_config;
pub use processes::metric;
pub use processes::start_group;
pub use processes::start_leading_core;
pub use processes::wait_for_listener;

pub const BINARY: &str = env!("CARGO_BIN_EXE_beechhollow");
/// Limit for waiting on a condition that should hold soon.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Settings for the tests: one team with two customers, one of them with a guarantee, and an optional further customer.
pub fn settings(extra_customer: &str) -> String {
    format!(
        "system:
  administrator_tokens_sha256: [{ADMINISTRATOR_SHA256}]
  policy: {{checkpoint_wait_ms: 300, max_attempts: 2}}
teams:
  team:
    shapes:
      rack16: {{tasks: 4, accelerators_per_task: 4, adjacent: rack}}
      two: {{tasks: 2, accelerators_per_task: 8, adjacent: rack}}
      one: {{tasks: 1, accelerators_per_task: 8, adjacent: worker}}
      huge: {{tasks: 100, accelerators_per_task: 8, adjacent: rack}}
    request_types:
      read: {{priority: 5, idempotent: true, deadline_ms: 4000}}
      book: {{priority: 5, idempotent: false, deadline_ms: 4000, max_body_bytes: 100000}}
      small: {{priority: 5, idempotent: true, deadline_ms: 4000, max_body_bytes: 10}}
      train: {{priority: 3}}
    customers:
      lumen: {{weight: 2, guarantees: [{{shape: rack16, count: 1, data_centre: a}}]}}
      crumb: {{}}
      {extra_customer}
"
    )
}

/// Starts three entries in one data centre and one in another, and waits until they are ready with settings in force.
pub fn small_cluster() -> Cluster {
    let mut cluster = Cluster::new(BINARY, entries()).with_config_lines("target_lease_ms: 1500\n");
    cluster.start_all();
    apply_first_settings(&cluster);
    cluster
}

/// Options of three entries in data centre `a`, and one in `b` without a disk.
pub fn entries() -> Vec<EntryOptions> {
    vec![
        EntryOptions::new("a1", "a"),
        EntryOptions::new("a2", "a"),
        EntryOptions::new("a3", "a"),
        EntryOptions::new("b1", "b").with_no_disk(),
    ]
}

/// Waits until the entries are ready, and puts the settings into force on all of them.
pub fn apply_first_settings(cluster: &Cluster) {
    cluster.wait_ready();
    cluster.wait_until("the first settings accepted", TIMEOUT, || {
        cluster.apply("a1", "first", 0, &settings("")).code() == Some(0)
    });
    for name in cluster.names() {
        cluster.wait_until("settings in force everywhere", TIMEOUT, || {
            cluster.revision(&name) == Some(1)
        });
    }
}

/// Starts workers `w0`, `w1`, ... in data centre `a`, two per rack, and waits until all have an owner.
pub fn start_workers(cluster: &Cluster, count: usize) -> Vec<Worker> {
    let workers: Vec<Worker> = (0..count)
        .map(|index| {
            let rack = format!("r{}", index / 2);
            Worker::start(WorkerOptions::new(
                &format!("w{index}"),
                "a",
                &rack,
                cluster.entries_of("a"),
            ))
        })
        .collect();
    wait_for_owners(cluster, count);
    workers
}

/// Waits until `count` targets have an owner and every entry of their data centre knows the owners' free slots. This is later than the
/// owner's record: the owner's lease takes effect after it, and the other entries hear of the slots after that.
pub fn wait_for_known_slots(cluster: &Cluster, count: usize) {
    const SLOTS: u64 = 8;
    wait_for_owners(cluster, count);
    let wanted = SLOTS * u64::try_from(count).unwrap_or(u64::MAX);
    for name in ["a1", "a2", "a3"] {
        cluster.wait_until("all slots known", TIMEOUT, || {
            let status = http_raw::get(cluster.http(name), "/v1/status").json();
            let peers = status["peers"].as_array().into_iter().flatten();
            let of_peers: u64 = peers.filter_map(|peer| peer["free_slots"].as_u64()).sum();
            status["free_slots"].as_u64().unwrap_or(0) + of_peers == wanted
        });
    }
}

/// Waits until `count` targets have an owner.
pub fn wait_for_owners(cluster: &Cluster, count: usize) {
    let address = cluster.http("b1");
    cluster.wait_until("all targets owned", TIMEOUT, || {
        let targets = http_raw::get(address, "/v1/targets?data_centre=a").json();
        targets
            .as_array()
            .is_some_and(|rows| rows.iter().filter(|row| !row["owner"].is_null()).count() == count)
    });
}

/// Builds faults from the defaults with `change` applied.
pub fn faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

/// Waits until every entry knows a leader for each of its groups.
pub fn wait_for_leaders(cluster: &Cluster) {
    for name in cluster.names() {
        cluster.wait_until("all groups led", TIMEOUT, || {
            let status = http_raw::get(cluster.http(&name), "/v1/status").json();
            let groups = status["groups"].as_array();
            groups.is_some_and(|groups| groups.iter().all(|group| !group["leader"].is_null()))
        });
    }
}

/// Text that an entry logs when a write to its journal took long.
pub const SLOW_DISK: &str = "slow write to the journal";
/// Texts that an entry logs when its groups committed nothing for a while: its disk was slow, or a leader had lost its quorum.
const COMMIT_STALL_TEXTS: [&str; 2] = [SLOW_DISK, "no longer leader"];

/// Whether the entries' logs say that a group committed nothing for a while.
pub fn had_commit_stall(cluster: &Cluster) -> bool {
    COMMIT_STALL_TEXTS
        .iter()
        .any(|line| cluster.has_logged(line))
}

/// A caller that sends one request until the answer is final.
#[derive(Default)]
pub struct Caller {
    was_refused: bool,
}

impl Caller {
    /// Whether the caller must send the request again with the same key, as the answer's help says.
    ///
    /// While there are healthy targets, a request is refused as not run for two reasons only: its record could not be committed in time (BH203), or
    /// the grants of all targets have expired (BH200). Both need a group that committed nothing for a while, and the entries' logs must show that; a
    /// refusal without it is a fault. The start of a refused request may be recorded all the same; until the record is taken back, the request counts
    /// as in progress (BH401).
    pub fn must_retry(&mut self, cluster: &Cluster, answer: &RawAnswer) -> bool {
        if self.was_refused && answer.code() == Some(401) {
            return true;
        }
        if answer.header("x-ran") != Some("no") {
            return false;
        }
        let is_allowed = matches!(answer.code(), Some(200 | 203));
        assert!(is_allowed, "{answer:?}\n{}", cluster.logs());
        let what = format!("a log that says why it was refused: {answer:?}");
        cluster.wait_until(&what, TIMEOUT, || had_commit_stall(cluster));
        self.was_refused = true;
        true
    }
}

/// Sends a short request of customer `lumen` until the answer is final.
pub fn request_with_retries(
    cluster: &Cluster,
    entry: &str,
    request_type: &str,
    key: Option<&str>,
    body: &str,
) -> RawAnswer {
    let mut caller = Caller::default();
    let until = Instant::now() + TIMEOUT;
    loop {
        let answer = request(cluster, entry, request_type, key, body);
        if !caller.must_retry(cluster, &answer) || Instant::now() >= until {
            return answer;
        }
        let retry_after_ms = answer
            .header("x-retry-after-ms")
            .and_then(|text| text.parse().ok());
        thread::sleep(Duration::from_millis(retry_after_ms.unwrap_or(0)));
    }
}

/// Sends a short request of customer `lumen`.
pub fn request(
    cluster: &Cluster,
    entry: &str,
    request_type: &str,
    key: Option<&str>,
    body: &str,
) -> RawAnswer {
    let path = format!("/v1/customers/lumen/requests/{request_type}");
    let headers: Vec<(&str, &str)> = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    http_raw::post(cluster.http(entry), &path, &headers, body.as_bytes())
}

/// Submits a job and returns its number.
pub fn submit(
    cluster: &Cluster,
    entry: &str,
    customer: &str,
    shape: &str,
    key: &str,
    run_ms: u64,
) -> u64 {
    let body = serde_json::json!({ "key": key, "shape": shape, "request_type": "train", "declared_ms": run_ms, "payload": format!("run_ms={run_ms}") });
    let path = format!("/v1/customers/{customer}/jobs?data_centre=a");
    let answer = http_raw::post(cluster.http(entry), &path, &[], body.to_string().as_bytes());
    answer.json()["job"]
        .as_u64()
        .unwrap_or_else(|| panic!("not submitted: {}\n{}", answer.text(), cluster.logs()))
}

/// Reads the status of a job through an entry.
pub fn job(cluster: &Cluster, entry: &str, customer: &str, number: u64) -> serde_json::Value {
    http_raw::get(
        cluster.http(entry),
        &format!("/v1/customers/{customer}/jobs/{number}?data_centre=a"),
    )
    .json()
}

/// Waits until a job is in the phase `wanted`, or until it runs if `wanted` is `running`.
pub fn wait_job(cluster: &Cluster, entry: &str, customer: &str, number: u64, wanted: &str) {
    cluster.wait_until(&format!("job {number} {wanted}"), TIMEOUT, || {
        let status = job(cluster, entry, customer, number);
        if wanted == "running" {
            status["running"] == true
        } else {
            status["phase"] == wanted
        }
    });
}
