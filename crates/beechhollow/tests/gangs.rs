//! Gangs and guarantees when workers and leaders die.

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
use support::SOON;
use support::entries;
use support::fault;
use support::job;
use support::prepare;
use support::small_system;
use support::submit;
use support::wait_job;
use support::workers;

/// Attempts of a job that run anywhere, with the workers each runs on.
fn running(workers: &[Worker], number: u64) -> BTreeMap<u64, BTreeSet<usize>> {
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

/// A borrower holds every accelerator. The guaranteed customer asks: the borrowers checkpoint and stop, and its gang of
/// adjacent accelerators runs within the checkpoint wait and a second; the borrowers go on when it is done.
#[test]
fn a_guarantee_is_reclaimed_from_borrowers() {
    let cluster = small_system();
    let workers = workers(&cluster, 4);
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

/// One worker of a running gang dies: the rest of the gang stops, no part of it runs on, and the whole gang starts again
/// elsewhere and ends.
#[test]
fn a_gang_that_loses_a_worker_stops_whole_and_starts_again() {
    let cluster = small_system();
    let mut workers = workers(&cluster, 6);
    let number = submit(&cluster, "a1", "crumb", "two", "g", 2_500);
    wait_job(&cluster, "a1", "crumb", number, "running");
    let (epoch, on) = running(&workers, number).into_iter().next().unwrap();
    let victim = *on.iter().next().unwrap();
    drop(workers.remove(victim));
    cluster.wait_until("the old attempt has ended everywhere", SOON, || {
        !running(&workers, number).contains_key(&epoch)
    });
    cluster.wait_until("a new attempt runs whole", SOON, || {
        running(&workers, number).values().any(|on| on.len() == 2)
    });
    wait_job(&cluster, "a1", "crumb", number, "done");
    assert_eq!(job(&cluster, "a1", "crumb", number)["attempt"], 2);
}

/// A worker refuses to hold, then another refuses to start. No part of the gang runs on its own after that, and the gang
/// runs whole once the workers accept.
#[test]
fn refusals_never_leave_part_of_a_gang_running() {
    let cluster = small_system();
    let workers = workers(&cluster, 2);
    workers[1].set_faults(fault(|f| f.refuses_prepare = true));
    let first = submit(&cluster, "a1", "crumb", "two", "p", 400);
    thread::sleep(Duration::from_millis(1_500));
    assert!(
        workers.iter().all(|worker| worker.started().is_empty()),
        "a task started though one worker refused to hold"
    );
    workers[1].set_faults(fault(|f| f.refuses_start = true));
    cluster.wait_until("a start is refused and taken back", SOON, || {
        job(&cluster, "a1", "crumb", first)["attempt"].as_u64() >= Some(1)
            && running(&workers, first).is_empty()
    });
    workers[1].set_faults(fault(|_| {}));
    // Both workers were blamed for the refusals; they are tried again after their time aside.
    cluster.wait_until("the gang is done", Duration::from_secs(60), || {
        job(&cluster, "a1", "crumb", first)["phase"] == "done"
    });
    assert_eq!(workers[0].running(), Vec::new());
}

/// The leader is killed while a gang runs and another waits. The next leader takes the running one over without a
/// restart, starts the waiting one, and both end once. Workers keep what runs for as long as their leases last, so these are the usual ones:
/// shorter than an election and the renewal before it, a lease may run out between the leaders, and the gang begins anew.
#[test]
fn a_new_leader_takes_running_gangs_over() {
    let mut cluster = Cluster::new(BINARY, entries());
    cluster.start_all();
    prepare(&cluster);
    let workers = workers(&cluster, 2);
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

/// The leader is isolated silently while gangs are submitted to the others. It stops leading within its election time;
/// at no moment do two attempts of one gang run, and every gang ends once.
#[test]
fn an_isolated_leader_starts_nothing_twice() {
    let mut cluster = Cluster::new(BINARY, entries())
        .with_links()
        .with_config_lines("target_lease_ms: 1500\n");
    cluster.start_all();
    prepare(&cluster);
    let workers = workers(&cluster, 4);
    let numbers: Vec<u64> = (0..3)
        .map(|n| submit(&cluster, "a1", "crumb", "two", &format!("before{n}"), 2_000))
        .collect();
    wait_job(&cluster, "a1", "crumb", numbers[0], "running");
    let until = AtomicBool::new(false);
    let leader = cluster.leader_seen_by("a1", "jobs/a").unwrap();
    let other = if leader == "a1" { "a2" } else { "a1" };
    let doubled = thread::scope(|scope| {
        let watching = scope.spawn(|| {
            let mut doubled = Vec::new();
            while !until.load(Ordering::SeqCst) {
                for number in &numbers {
                    let attempts = running(&workers, *number);
                    if attempts.len() > 1 {
                        doubled.push(attempts);
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
            doubled
        });
        cluster.isolate(&leader, true);
        thread::sleep(Duration::from_millis(4_000));
        cluster.isolate(&leader, false);
        for number in &numbers {
            wait_job(&cluster, other, "crumb", *number, "done");
        }
        until.store(true, Ordering::SeqCst);
        watching.join().unwrap()
    });
    assert!(doubled.is_empty(), "{doubled:?}");
}

/// A shape larger than the data centre is refused at once; a job that fails wherever it starts is given up with a reason,
/// and the workers it failed on are not blamed: the next job runs on them at once.
#[test]
fn jobs_that_can_never_run_are_refused_or_given_up() {
    let cluster = small_system();
    let _workers = workers(&cluster, 2);
    let path = "/v1/customers/crumb/jobs?data_centre=a";
    let body = |key: &str, shape: &str, payload: &str| {
        serde_json::json!({ "key": key, "shape": shape, "request_type": "train", "declared_ms": 10, "payload": payload }).to_string()
    };
    cluster.wait_until("a shape that never fits is refused", SOON, || {
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
