//! Capacity that no guarantee covers is shared fairly between customers, by what each of them uses and has used.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::rules::Customer;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::Start;
use bh_workload::state::WorkerChange;
use bh_workload::state::Workload;
use std::sync::Arc;
use support::START_WALL_MS;
use support::Site;
use support::rules;
use support::run_of;
use support::step;
use support::task;

/// Half-life of past usage, in milliseconds.
const HALF_LIFE_MS: u64 = 30_000;

/// Sets rules with these customers and their guaranteed accelerators.
fn set_customers(site: &mut Site, version: u64, customers: &[(&str, u64)]) {
    let customer = |(name, guaranteed_accelerators): &(&str, u64)| {
        Arc::new(Customer {
            name: Arc::from(*name),
            keys: vec![Arc::from(format!("key-{name}"))],
            guaranteed_accelerators: *guaranteed_accelerators,
        })
    };
    let rules = Rules {
        customers: customers.iter().map(customer).collect(),
        ..rules(version)
    };
    site.workload.apply(Command::SetRules(Box::new(rules)));
    site.take_events();
}

/// Accelerators that a customer's runs take according to the ledger.
fn in_use(workload: &Workload, customer: &str) -> u64 {
    let usage = workload.usage().of(customer);
    usage.map_or(0, |usage| usage.in_use().accelerators)
}

/// Mean of the accelerators that a customer has used, weighted by age, at the record's time.
fn mean_accelerators(workload: &Workload, customer: &str) -> f64 {
    let usage = workload.usage().of(customer);
    let mean = usage.map(|usage| usage.mean_thousandths(workload.latest_ms));
    let thousandths = mean.map_or(0, |mean| mean.accelerators);
    f64::from(u32::try_from(thousandths).unwrap()) / 1_000.0
}

/// Share of a constant usage that counts after `elapsed_ms`.
fn counted(elapsed_ms: u64) -> f64 {
    let elapsed_ms = u32::try_from(elapsed_ms).unwrap();
    1.0 - 0.5_f64.powf(f64::from(elapsed_ms) / 30_000.0)
}

#[track_caller]
fn assert_close(actual: f64, expected: f64) {
    assert!(
        (actual - expected).abs() <= 0.002 + expected * 0.001,
        "{actual} instead of {expected}"
    );
}

/// Advances the time of the record to that of the site, with a command that changes nothing else.
fn touch(site: &mut Site) {
    let now_ms = site.wall_ms();
    site.workload.apply(Command::ends(Vec::new()).at(now_ms));
}

fn restored(snapshot: &[u8]) -> Workload {
    let mut workload = Workload::default();
    (Workload::CODEC.restore)(&mut workload, snapshot).unwrap();
    workload.take_events();
    workload
}

fn snapshot(workload: &Workload) -> Vec<u8> {
    (Workload::CODEC.snapshot)(workload).unwrap()
}

/// Snapshot as a version without the ledger writes it.
fn snapshot_without_ledger(workload: &Workload) -> Vec<u8> {
    let mut value: serde_json::Value = serde_json::from_slice(&snapshot(workload)).unwrap();
    let removed = value.as_object_mut().unwrap().remove("usage");
    assert!(removed.is_some(), "the snapshot contains the ledger");
    serde_json::to_vec(&value).unwrap()
}

/// A site of four workers on which the customer `other` runs two jobs of eight accelerators each, with the jobs.
fn site_with_usage() -> (Site, [JobId; 2]) {
    let mut site = Site::new(4, 4);
    site.advance(60_000);
    let jobs = [0, 1].map(|_| site.submit(2, "other", vec![step(1, 8)]));
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 2);
    (site, jobs)
}

/// Returns the end of a run on a worker.
fn end_of((worker, run): &(Incarnation, RunId), kind: EndKind) -> End {
    End {
        run: *run,
        worker: worker.clone(),
        kind,
        checkpoint: None,
    }
}

/// Guards against usage that is not charged to its customer, is charged beyond the end of the run, or keeps its weight however old it is.
#[test]
fn usage_is_charged_from_start_to_end_and_decays() {
    let (mut site, jobs) = site_with_usage();
    assert_eq!(in_use(&site.workload, "other"), 16);
    assert_eq!(in_use(&site.workload, "guaranteed"), 0);
    site.advance(10_000);
    site.end(run_of(&site, jobs[0], 0), EndKind::Done);
    assert_eq!(in_use(&site.workload, "other"), 8);
    let after_first = 16.0 * counted(10_000);
    assert_close(mean_accelerators(&site.workload, "other"), after_first);
    site.advance(5_000);
    site.end(run_of(&site, jobs[1], 0), EndKind::Failed);
    assert_eq!(in_use(&site.workload, "other"), 0);
    let after_both = after_first * (1.0 - counted(5_000)) + 8.0 * counted(5_000);
    assert_close(mean_accelerators(&site.workload, "other"), after_both);
    site.advance(HALF_LIFE_MS);
    touch(&mut site);
    assert_close(mean_accelerators(&site.workload, "other"), after_both / 2.0);
    site.advance(2 * HALF_LIFE_MS);
    touch(&mut site);
    assert_close(mean_accelerators(&site.workload, "other"), after_both / 8.0);
    assert_eq!(mean_accelerators(&site.workload, "guaranteed"), 0.0);
}

/// Guards against rounding that loses usage when many runs start and end within milliseconds. The load is 20,000 runs of one millisecond, one
/// after the other.
#[test]
fn short_runs_are_charged_like_long_ones() {
    const TASKS: u32 = 5_000;
    const JOBS: u32 = 4;
    let mut site = Site::new(1, 1);
    site.advance(60_000);
    let jobs: Vec<JobId> = (0..JOBS)
        .map(|_| site.submit(2, "other", vec![step(TASKS, 8)]))
        .collect();
    let worker = site.workload.workers().next().unwrap().info.id.clone();
    for job in jobs {
        for index in 0..TASKS {
            let run = RunId {
                task: task(job, 0, index),
                attempt: 1,
            };
            let start = Start {
                run,
                worker: worker.clone(),
            };
            site.workload.apply(Command::Starts(vec![start]));
            site.now_ms += 1;
            let end = end_of(&(worker.clone(), run), EndKind::Done);
            let now_ms = site.wall_ms();
            site.workload.apply(Command::ends(vec![end]).at(now_ms));
        }
    }
    let expected = 8.0 * counted(u64::from(TASKS * JOBS));
    assert_close(mean_accelerators(&site.workload, "other"), expected);
}

/// Guards against usage that ends twice, or never, when a worker is lost with its runs and reports their ends later.
#[test]
fn usage_of_runs_on_a_lost_worker_ends_once() {
    let (mut site, _) = site_with_usage();
    site.advance(1_000);
    touch(&mut site);
    let lost = site.open_runs()[0].clone();
    let gone = WorkerChange::Gone(lost.0.clone());
    site.workload.apply(Command::Workers(vec![gone]));
    assert_eq!(in_use(&site.workload, "other"), 8);
    let late = Command::ends(vec![end_of(&lost, EndKind::Failed)]);
    site.workload.apply(late.at(site.wall_ms()));
    assert_eq!(in_use(&site.workload, "other"), 8);
}

/// Guards against the end of a run that is recorded twice, as after a resend by the next leader, and would end the usage of another run.
#[test]
fn an_end_that_is_reported_twice_counts_once() {
    let (mut site, _) = site_with_usage();
    site.advance(1_000);
    let ended = site.open_runs()[0].clone();
    for _ in 0..2 {
        let end = Command::ends(vec![end_of(&ended, EndKind::Done)]);
        site.workload.apply(end.at(site.wall_ms()));
        assert_eq!(in_use(&site.workload, "other"), 8);
    }
    assert_close(
        mean_accelerators(&site.workload, "other"),
        16.0 * counted(1_000),
    );
}

/// Guards against a leader whose clock is behind that of the last one: the ledger's time would go back, and usage would be charged again when
/// the clock has caught up.
#[test]
fn the_time_of_the_ledger_never_goes_back() {
    let (mut site, jobs) = site_with_usage();
    site.advance(10_000);
    touch(&mut site);
    let before_ms = site.workload.latest_ms;
    let charged = 16.0 * counted(10_000);
    let runs = jobs.map(|job| run_of(&site, job, 0));
    let held = site.open_runs();
    let holder = |run: RunId| held.iter().find(|(_, held)| *held == run).unwrap();
    let behind = Command::ends(vec![end_of(holder(runs[0]), EndKind::Done)]);
    site.workload.apply(behind.at(before_ms - 8_000));
    let usage = site.workload.usage().of("other").unwrap();
    assert_eq!(usage.at_ms(), before_ms);
    assert_close(mean_accelerators(&site.workload, "other"), charged);
    let behind = Command::ends(vec![end_of(holder(runs[1]), EndKind::Done)]);
    site.workload.apply(behind.at(before_ms - 7_000));
    let usage = site.workload.usage().of("other").unwrap();
    assert_eq!(usage.at_ms(), before_ms);
    assert_close(mean_accelerators(&site.workload, "other"), charged);
}

/// Guards against a customer that is removed from the rules, or renamed, while its runs continue: their usage must still end, and the
/// customer must not stay in the ledger forever.
#[test]
fn a_removed_customer_is_dropped_when_its_usage_is_over() {
    let (mut site, jobs) = site_with_usage();
    site.advance(1_000);
    set_customers(&mut site, 2, &[("guaranteed", 16), ("renamed", 0)]);
    assert_eq!(in_use(&site.workload, "other"), 16);
    let renamed = site.submit(2, "renamed", vec![step(1, 4)]);
    site.plan_and_start();
    assert_eq!(in_use(&site.workload, "renamed"), 4);
    for job in jobs {
        site.end(run_of(&site, job, 0), EndKind::Done);
    }
    site.end(run_of(&site, renamed, 0), EndKind::Done);
    assert_eq!(in_use(&site.workload, "other"), 0);
    let forget = Command::Forget { before_ms: 0 };
    site.workload.apply(forget.clone());
    assert!(
        site.workload.usage().of("other").is_some(),
        "its usage still counts"
    );
    site.advance(30 * HALF_LIFE_MS);
    touch(&mut site);
    site.workload.apply(forget);
    let names: Vec<&str> = site
        .workload
        .usage()
        .iter()
        .map(|(name, _)| &**name)
        .collect();
    assert_eq!(names, ["renamed"]);
}

/// Guards against a ledger that grows with each renaming of a customer. The load is a customer that is renamed 200 times, an hour apart, and
/// runs a job under each name.
#[test]
fn the_ledger_is_bounded_by_the_customers_in_the_rules() {
    let mut site = Site::new(1, 1);
    for version in 2..202 {
        let name = format!("customer{version}");
        set_customers(&mut site, version, &[("guaranteed", 16), (&name, 0)]);
        site.advance(3_600_000);
        let job = site.submit(2, &name, vec![step(1, 1)]);
        site.plan_and_start();
        site.end(run_of(&site, job, 0), EndKind::Done);
        assert!(site.workload.usage().iter().count() <= 3);
    }
}

/// Guards against a replica that restores a snapshot and from then on differs from the others, also when the job of an open run is forgotten,
/// whose customer nobody knows afterwards.
#[test]
fn a_restored_replica_keeps_the_same_ledger() {
    let (mut site, jobs) = site_with_usage();
    site.advance(3_000);
    let runs = jobs.map(|job| run_of(&site, job, 0));
    let holders = site.open_runs();
    site.cancel(2, "other", jobs[0]);
    let mut live = site.workload.clone();
    let mut follower = restored(&snapshot(&live));
    assert_eq!(follower, live);
    let now_ms = site.wall_ms();
    let before_ms = now_ms + 1;
    let ends = |run: RunId| {
        let holder = holders.iter().find(|(_, held)| *held == run).unwrap();
        Command::ends(vec![end_of(holder, EndKind::Done)]).at(now_ms + 5_000)
    };
    for command in [Command::Forget { before_ms }, ends(runs[0]), ends(runs[1])] {
        for replica in [&mut live, &mut follower] {
            replica.apply(command.clone());
            replica.take_events();
        }
        assert_eq!(follower, live);
        assert_eq!(restored(&snapshot(&live)), live);
    }
    assert_eq!(in_use(&live, "other"), 0);
    let all = Resources::default();
    assert!(live.usage().iter().all(|(_, usage)| usage.in_use() == all));
}

/// Guards against a record of an older version that cannot be read, or whose runs in progress are not charged.
#[test]
fn a_snapshot_of_an_older_version_has_no_past_usage() {
    let (mut site, jobs) = site_with_usage();
    site.advance(3_000);
    touch(&mut site);
    assert!(mean_accelerators(&site.workload, "other") > 0.5);
    let mut workload = restored(&snapshot_without_ledger(&site.workload));
    assert_eq!(in_use(&workload, "other"), 16);
    assert_eq!(mean_accelerators(&workload, "other"), 0.0);
    let run = run_of(&site, jobs[0], 0);
    let holders = site.open_runs();
    let holder = holders.iter().find(|(_, held)| *held == run).unwrap();
    let end = Command::ends(vec![end_of(holder, EndKind::Done)]);
    workload.apply(end.at(START_WALL_MS + site.now_ms + 1_000));
    assert_eq!(in_use(&workload, "other"), 8);
    assert_close(mean_accelerators(&workload, "other"), 16.0 * counted(1_000));
}

/// Guards against a new field in the record of sites without runs: snapshots of versions that do not share capacity stay as they were.
#[test]
fn a_record_without_runs_has_no_ledger() {
    let site = Site::new(1, 1);
    let value: serde_json::Value = serde_json::from_slice(&snapshot(&site.workload)).unwrap();
    assert!(value.get("usage").is_none());
}
