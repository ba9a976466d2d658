//! Gangs and guarantees while workers and leaders are lost.

mod support;

use bh_protocol::target::TaskKey;
use bh_testkit::Cluster;
use bh_testkit::Worker;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use support::BINARY;
use support::TIMEOUT;
use support::apply_first_settings;
use support::entries;
use support::faults;
use support::job;
use support::small_cluster;
use support::start_workers;
use support::submit;
use support::wait_job;

/// Returns the attempts of a job that are running, each with the workers on which it runs.
fn running_attempts(workers: &[Worker], number: u64) -> BTreeMap<u64, BTreeSet<usize>> {
    let mut attempts: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    for (index, worker) in workers.iter().enumerate() {
        for TaskKey { job, epoch, .. } in worker.running() {
            if job == number {
                attempts.entry(epoch).or_default().insert(index);
            }
        }
    }
    attempts
}

/// Jobs without a guarantee hold every accelerator. When the guaranteed customer submits a gang, these borrowers checkpoint
/// and stop, and the gang runs on adjacent accelerators within the checkpoint wait plus a second. Then the borrowers
/// continue.
#[test]
fn a_guarantee_is_reclaimed_from_borrowers() {
    let cluster = small_cluster();
    let workers = start_workers(&cluster, 4);
    let borrowers: Vec<u64> = (0..4)
        .map(|n| submit(&cluster, "a1", "crumb", "one", &format!("c{n}"), 3_000))
        .collect();
    for number in &borrowers {
        wait_job(&cluster, "a2", "crumb", *number, "running");
    }
    let number = submit(&cluster, "a3", "lumen", "rack16", "g", 800);
    cluster.wait_until(
        "the guaranteed gang runs",
        Duration::from_millis(2_500),
        || job(&cluster, "a1", "lumen", number)["running"] == true,
    );
    let placement = job(&cluster, "a1", "lumen", number)["placement"]["tasks"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let racks: BTreeSet<String> = placement
        .iter()
        .map(|task| task["worker"].as_str().unwrap_or("")[1..].to_owned())
        .map(|index| (index.parse::<u32>().unwrap() / 2).to_string())
        .collect();
    assert_eq!((placement.len(), racks.len()), (4, 1));
    wait_job(&cluster, "a1", "lumen", number, "done");
    for number in borrowers {
        wait_job(&cluster, "a1", "crumb", number, "done");
    }
    drop(workers);
}

/// A running gang loses a worker. The rest of the gang stops, and the whole gang restarts on other workers and ends.
#[test]
fn a_gang_that_loses_a_worker_stops_whole_and_starts_again() {
    let cluster = small_cluster();
    let mut workers = start_workers(&cluster, 6);
    let number = submit(&cluster, "a1", "crumb", "two", "g", 2_500);
    wait_job(&cluster, "a1", "crumb", number, "running");
    let (epoch, on) = running_attempts(&workers, number)
        .into_iter()
        .next()
        .unwrap();
    let victim = *on.iter().next().unwrap();
    drop(workers.remove(victim));
    cluster.wait_until("the old attempt has ended everywhere", TIMEOUT, || {
        !running_attempts(&workers, number).contains_key(&epoch)
    });
    cluster.wait_until("a new attempt runs whole", TIMEOUT, || {
        running_attempts(&workers, number)
            .values()
            .any(|on| on.len() == 2)
    });
    wait_job(&cluster, "a1", "crumb", number, "done");
    assert_eq!(job(&cluster, "a1", "crumb", number)["attempt"], 2);
}

/// A worker refuses to prepare a gang and later refuses to start it. No part of the gang keeps running alone, and the gang
/// runs as a whole once the worker accepts.
#[test]
fn refusals_never_leave_part_of_a_gang_running() {
    let cluster = small_cluster();
    let workers = start_workers(&cluster, 2);
    workers[1].set_faults(faults(|f| f.refuses_prepare = true));
    let first = submit(&cluster, "a1", "crumb", "two", "p", 400);
    thread::sleep(Duration::from_millis(1_500));
    assert!(
        workers.iter().all(|worker| worker.started().is_empty()),
        "a task started although one worker refused to prepare the gang"
    );
    workers[1].set_faults(faults(|f| f.refuses_start = true));
    cluster.wait_until("a start is refused and taken back", TIMEOUT, || {
        job(&cluster, "a1", "crumb", first)["attempt"].as_u64() >= Some(1)
            && running_attempts(&workers, first).is_empty()
    });
    workers[1].set_faults(faults(|_| {}));
    // Both workers are set aside for the refusals, and used again after that time.
    cluster.wait_until("the gang is done", Duration::from_secs(60), || {
        job(&cluster, "a1", "crumb", first)["phase"] == "done"
    });
    assert_eq!(workers[0].running(), Vec::new());
}

/// The leader is killed while one gang runs and another waits. The next leader takes over the running gang without a restart and starts the waiting one.
/// Both end once. The leases have their default length, since a worker stops its tasks when its lease expires: with leases shorter than the last renewal
/// plus an election, the gang may lose its lease between the leaders and restart.
#[test]
fn a_new_leader_takes_running_gangs_over() {
    let mut cluster = Cluster::new(BINARY, entries());
    cluster.start_all();
    apply_first_settings(&cluster);
    let workers = start_workers(&cluster, 2);
    let first = submit(&cluster, "a1", "crumb", "two", "one", 4_000);
    wait_job(&cluster, "a1", "crumb", first, "running");
    let second = submit(&cluster, "a1", "crumb", "two", "two", 300);
    let leader = cluster.leader_seen_by("a1", "jobs/a").unwrap();
    cluster.kill(&leader);
    let other = if leader == "a1" { "a2" } else { "a1" };
    wait_job(&cluster, other, "crumb", first, "done");
    wait_job(&cluster, other, "crumb", second, "done");
    let status = job(&cluster, other, "crumb", first);
    assert_eq!(status["attempt"], 1, "{status}\n{}", cluster.logs());
    let starts: Vec<TaskKey> = workers
        .iter()
        .flat_map(Worker::started)
        .filter(|key| key.job == first)
        .collect();
    assert_eq!(starts.len(), 2, "{starts:?}");
}

/// The leader is cut off from the other entries while gangs run, and must stop leading within its election time. Two attempts of
/// one gang never run at the same time, and every gang ends once.
#[test]
fn an_isolated_leader_starts_nothing_twice() {
    let mut cluster = Cluster::new(BINARY, entries())
        .with_links()
        .with_config_lines("target_lease_ms: 1500\n");
    cluster.start_all();
    apply_first_settings(&cluster);
    let workers = start_workers(&cluster, 4);
    let numbers: Vec<u64> = (0..3)
        .map(|n| submit(&cluster, "a1", "crumb", "two", &format!("before{n}"), 2_000))
        .collect();
    wait_job(&cluster, "a1", "crumb", numbers[0], "running");
    let stop = AtomicBool::new(false);
    let leader = cluster.leader_seen_by("a1", "jobs/a").unwrap();
    let other = if leader == "a1" { "a2" } else { "a1" };
    let simultaneous_attempts = thread::scope(|scope| {
        let observer = scope.spawn(|| {
            let mut simultaneous_attempts = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                for number in &numbers {
                    let attempts = running_attempts(&workers, *number);
                    if attempts.len() > 1 {
                        simultaneous_attempts.push(attempts);
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
            simultaneous_attempts
        });
        cluster.isolate(&leader, true);
        thread::sleep(Duration::from_millis(4_000));
        cluster.isolate(&leader, false);
        for number in &numbers {
            wait_job(&cluster, other, "crumb", *number, "done");
        }
        stop.store(true, Ordering::SeqCst);
        observer.join().unwrap()
    });
    assert!(
        simultaneous_attempts.is_empty(),
        "{simultaneous_attempts:?}"
    );
}

/// A shape larger than the data centre is refused at once. A job that fails on every worker is given up with a reason, and
/// the workers on which it failed are not set aside: the next job runs on them at once.
#[test]
fn jobs_that_can_never_run_are_refused_or_given_up() {
    let cluster = small_cluster();
    let _workers = start_workers(&cluster, 2);
    let path = "/v1/customers/crumb/jobs?data_centre=a";
    let body = |key: &str, shape: &str, payload: &str| {
        serde_json::json!({ "key": key, "shape": shape, "request_type": "train", "declared_ms": 10, "payload": payload }).to_string()
    };
    cluster.wait_until("a shape that never fits is refused", TIMEOUT, || {
        let answer = bh_testkit::http_raw::post(
            cluster.http("a2"),
            path,
            &[],
            body("huge", "huge", "").as_bytes(),
        );
        (answer.code(), answer.header("x-ran")) == (Some(114), Some("no"))
    });
    let answer = bh_testkit::http_raw::post(
        cluster.http("a2"),
        path,
        &[],
        body("bad", "one", "run_ms=20 fail=1").as_bytes(),
    );
    let bad = answer.json()["job"].as_u64().unwrap();
    cluster.wait_until("the bad job is given up", Duration::from_secs(40), || {
        job(&cluster, "a1", "crumb", bad)["phase"] == "failed"
    });
    assert!(
        job(&cluster, "a1", "crumb", bad)["reason"]
            .as_str()
            .unwrap()
            .contains("failed on")
    );
    let again = bh_testkit::http_raw::post(
        cluster.http("a3"),
        path,
        &[],
        body("bad", "one", "run_ms=20 fail=1").as_bytes(),
    );
    assert_eq!(
        again.json()["job"].as_u64(),
        Some(bad),
        "a resend with the same key is the same job"
    );
    let good = submit(&cluster, "a1", "crumb", "two", "good", 100);
    wait_job(&cluster, "a1", "crumb", good, "done");
}
