//! Capacity that no guarantee covers is shared fairly between customers, by what each of them uses and has used.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::Resources;
use bh_workload::job::RunId;
use bh_workload::job::StepSpec;
use bh_workload::plan::CustomerShare;
use bh_workload::plan::Plan;
use bh_workload::plan::Planner;
use bh_workload::plan::Policy;
use bh_workload::rules::Customer;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use bh_workload::state::Job;
use bh_workload::state::Place;
use bh_workload::state::Reply;
use bh_workload::state::Start;
use bh_workload::state::WorkerChange;
use bh_workload::state::Workload;
use rstest::rstest;
use std::sync::Arc;
use support::START_WALL_MS;
use support::Site;
use support::place;
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

/// A job is forgotten while one of its runs is still recorded, and its caller submits it again. Guards against a replica that was restored
/// from a snapshot and charges that run, while the others do not.
#[test]
fn replicas_agree_on_a_run_whose_job_is_submitted_again() {
    let (mut site, jobs) = site_with_usage();
    let old_run = run_of(&site, jobs[0], 0);
    site.cancel(2, "other", jobs[0]);
    let before_ms = site.wall_ms() + 1;
    site.workload.apply(Command::Forget { before_ms });
    assert_eq!(in_use(&site.workload, "other"), 8);
    let accepted = site.workload.apply(Command::Accept {
        place: place(2, "other", jobs[0]),
        spec: JobSpec {
            text: Arc::from("text"),
            steps: vec![step(1, 8)],
            schedule: None,
        },
        now_ms: site.wall_ms(),
    });
    assert_eq!(accepted, Reply::Done);
    let replica = restored(&snapshot(&site.workload));
    assert_eq!(replica.usage(), site.workload.usage());
    assert_eq!(in_use(&replica, "other"), 16);
    site.end(old_run, EndKind::Stopped);
    assert_eq!(in_use(&site.workload, "other"), 8);
}

/// Least ratio of guarantees at which the sites here share capacity.
const MIN_RATIO: f64 = 4.0;
/// Run time of the tasks here, in milliseconds.
const RUN_MS: u64 = 5_000;

/// A site on which no capacity is kept for urgent work, with these customers and their guaranteed accelerators.
fn site_of(workers: usize, customers: &[(&str, u64)]) -> Site {
    let mut site = Site::new(workers, 8);
    set_customers(&mut site, 2, customers);
    site.advance(60_000);
    site
}

/// Lets a site share capacity between its customers.
fn sharing(mut site: Site) -> Site {
    let policy = Policy::new().with_fair_sharing(MIN_RATIO);
    site.planner = Planner::new().with_policy(policy);
    site
}

fn gang(count: u32, accelerators: u64) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, accelerators)
    }
}

/// Returns the jobs of which a plan starts runs, in the plan's order.
fn started_jobs(plan: &Plan) -> Vec<JobId> {
    plan.starts
        .iter()
        .map(|start| start.run.task.step.job)
        .collect()
}

/// The share of a customer.
fn share_of(site: &Site, customer: &str) -> CustomerShare {
    let shares = site
        .planner
        .customer_shares(site.wall_ms(), &site.workload, &site.dispatcher);
    let mut own = shares
        .into_iter()
        .filter(|share| &*share.customer == customer);
    own.next().unwrap()
}

/// A site on which one customer, `many`, uses all four workers, and has another job in the queue before one of the customer `few`. Then one
/// of its runs ends. Returns the two jobs.
fn contended_site(priority: u32, customers: &[(&str, u64)]) -> (Site, JobId, JobId) {
    let mut site = site_of(4, customers);
    let first = site.submit(2, "many", vec![step(4, 8)]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 4);
    site.advance(1_000);
    let many = site.submit(priority, "many", vec![step(1, 8)]);
    site.advance(10);
    let few = site.submit(priority, "few", vec![step(1, 8)]);
    site.end(run_of(&site, first, 0), EndKind::Done);
    (site, many, few)
}

/// Guards against a customer that takes all capacity that becomes free because it was first in the queue.
#[test]
fn the_customer_below_its_share_goes_first() {
    let (site, many, few) = contended_site(2, &[("many", 8), ("few", 0)]);
    assert_eq!(started_jobs(&site.clone().plan()), [many]);
    let mut site = sharing(site);
    assert_eq!(started_jobs(&site.plan()), [few]);
    let share = share_of(&site, "many");
    assert_eq!(share.weight, 8);
    assert_eq!(share_of(&site, "few").weight, 8);
    assert_close(share.share_in_use, 0.75);
    assert_close(share.mean_share, counted(1_010));
    assert_close(share.entitled_share, 0.5);
    assert_eq!(share.divisor_percent, 150);
    assert_eq!(share_of(&site, "few").divisor_percent, 100);
    assert!(share.waits);
}

/// Guards against a customer that has used everything until now and counts like one that has used nothing, because its runs have just ended.
#[test]
fn past_usage_counts_after_the_runs_have_ended() {
    let mut site = site_of(1, &[("many", 8), ("few", 0)]);
    let first = site.submit(2, "many", vec![step(1, 8)]);
    site.plan_and_start();
    site.advance(60_000);
    let many = site.submit(2, "many", vec![step(1, 8)]);
    site.advance(10);
    let few = site.submit(2, "few", vec![step(1, 8)]);
    site.end(run_of(&site, first, 0), EndKind::Done);
    assert_eq!(started_jobs(&site.clone().plan()), [many]);
    assert_eq!(started_jobs(&sharing(site).plan()), [few]);
}

/// Guards against sharing where it is not in force: it must be switched on, there must be two customers, and their guarantees must differ by
/// the factor that is set. Otherwise each plan is the same as before.
#[rstest]
#[case::switched_off(&[("many", 64), ("few", 0)], None)]
#[case::similar_guarantees(&[("many", 16), ("few", 8)], Some(MIN_RATIO))]
fn plans_are_as_before_where_sharing_is_not_in_force(
    #[case] customers: &[(&str, u64)],
    #[case] sharing_min_ratio: Option<f64>,
) {
    let (mut site, many, _) = contended_site(2, customers);
    let before = site.clone().plan();
    let policy = Policy {
        sharing_min_ratio,
        ..Policy::new()
    };
    site.planner = Planner::new().with_policy(policy);
    let plan = site.plan();
    assert_eq!(plan.starts, before.starts);
    assert_eq!(started_jobs(&plan), [many]);
    assert_eq!(share_of(&site, "many").divisor_percent, 100);
}

/// Guards against sharing with a customer that was removed from the rules, so that only one is left there.
#[test]
fn one_customer_in_the_rules_shares_with_nobody() {
    let (mut site, many, _) = contended_site(2, &[("many", 16), ("few", 0)]);
    set_customers(&mut site, 3, &[("many", 0)]);
    assert_eq!(started_jobs(&sharing(site).plan()), [many]);
}

/// Guards against holding back a customer while nobody else wants the capacity that it uses. The other customer uses some, and needs no more.
#[test]
fn a_customer_uses_what_no_other_waits_for() {
    let mut site = sharing(site_of(4, &[("many", 1), ("few", 64)]));
    site.submit(2, "few", vec![step(1, 1)]);
    site.plan_and_start();
    site.submit(2, "many", vec![step(64, 1)]);
    site.plan_and_start();
    assert_eq!(site.open_runs().len(), 32);
    let share = share_of(&site, "many");
    assert!(share.waits && share.ratio > 4.0, "{share:?}");
    assert_close(share.entitled_share, 1.0 / 65.0);
    assert_eq!(share.divisor_percent, 100);
    site.submit(2, "few", vec![step(1, 1)]);
    assert_eq!(share_of(&site, "many").divisor_percent, 400);
}

/// Guards against callers without a key that escape sharing: they count as one more customer.
#[test]
fn callers_without_a_key_share_one_entry() {
    let mut site = site_of(4, &[("many", 8), ("few", 0)]);
    let mut public = rules(3);
    public.customers = site.workload.rules.as_ref().unwrap().customers.clone();
    for queue in &mut public.queues {
        Arc::make_mut(queue).public = true;
    }
    site.workload.apply(Command::SetRules(Box::new(public)));
    for number in 0..2 {
        let job = JobId(100 + number);
        let accept = Command::Accept {
            place: Place {
                key: None,
                ..place(2, "few", job)
            },
            spec: JobSpec {
                steps: vec![step(2, 8)],
                ..JobSpec::default()
            },
            now_ms: site.wall_ms(),
        };
        assert_eq!(site.workload.apply(accept), Reply::Done);
    }
    let mut site = sharing(site);
    site.plan_and_start();
    assert_eq!(in_use(&site.workload, ""), 32);
    site.submit(2, "few", vec![step(1, 8)]);
    let share = share_of(&site, "");
    assert_eq!((share.weight, share.divisor_percent), (8, 200));
}

/// Guards against work that a guarantee covers and that waits behind other work, because its customer has borrowed much.
#[test]
fn guaranteed_work_is_not_delayed_by_what_its_customer_borrows() {
    let mut site = site_of(4, &[("many", 8), ("few", 0)]);
    let first = site.submit(2, "many", vec![step(4, 8)]);
    site.plan_and_start();
    site.advance(1_000);
    site.submit(0, "few", vec![step(1, 8)]);
    site.advance(10);
    let guaranteed = site.submit(0, "many", vec![step(1, 8)]);
    site.end(run_of(&site, first, 0), EndKind::Done);
    let mut site = sharing(site);
    assert_eq!(share_of(&site, "many").divisor_percent, 150);
    assert_eq!(started_jobs(&site.plan()), [guaranteed]);
}

/// Guards against a service that lacks a task and waits behind batch work, because its customer is above its share.
#[test]
fn services_keep_their_precedence() {
    let mut site = site_of(4, &[("many", 8), ("few", 0)]);
    let first = site.submit(2, "many", vec![step(4, 8)]);
    site.plan_and_start();
    site.advance(1_000);
    site.submit(1, "few", vec![step(1, 8)]);
    let service = StepSpec {
        long_running: true,
        ..step(1, 8)
    };
    let service = site.submit(2, "many", vec![service]);
    site.end(run_of(&site, first, 0), EndKind::Done);
    assert_eq!(started_jobs(&sharing(site).plan()), [service]);
}

/// Guards against stopping the work of a customer within its share for guaranteed work, while another customer uses several times its own.
#[test]
fn work_of_the_customer_above_its_share_is_stopped_first() {
    let mut site = site_of(4, &[("guaranteed", 16), ("many", 4), ("few", 4)]);
    let many: Vec<JobId> = (0..3)
        .map(|_| site.submit(2, "many", vec![gang(1, 8)]))
        .collect();
    site.plan_and_start();
    site.advance(500);
    let few = site.submit(2, "few", vec![gang(1, 8)]);
    site.plan_and_start();
    site.send_starts();
    site.advance(700);
    site.submit(0, "guaranteed", vec![gang(1, 8)]);
    let stopped = |plan: Plan| -> Vec<JobId> {
        let evictions = plan.evictions.iter();
        evictions.map(|(_, run)| run.task.step.job).collect()
    };
    // It has run for the shortest time, so the least work is lost.
    assert_eq!(stopped(site.clone().plan()), [few]);
    let stopped = stopped(sharing(site).plan());
    assert_eq!(stopped.len(), 1);
    assert!(many.contains(&stopped[0]), "{stopped:?}");
}

/// Guards against a change of leader, or of the process, after which customers start from zero and one that has just used everything goes
/// first again.
#[test]
fn a_new_leader_makes_the_same_plan() {
    // A new leader keeps capacity for urgent work, so only urgent work starts on the one free worker.
    let (site, many, few) = contended_site(0, &[("many", 0), ("few", 0), ("third", 8)]);
    assert_eq!(started_jobs(&site.clone().plan()), [many]);
    let plan = sharing(site.clone()).plan();
    assert_eq!(started_jobs(&plan), [few]);
    let mut next = site;
    next.workload = restored(&snapshot(&next.workload));
    next.take_over(2);
    let mut next = sharing(next);
    assert_eq!(next.plan().starts, plan.starts);
}

/// Guards against a plan that fails, or a customer that escapes its share, when it is removed from the rules while its jobs wait and run.
#[test]
fn a_removed_customer_counts_like_the_smallest() {
    let (mut site, _, few) = contended_site(2, &[("many", 64), ("few", 8)]);
    set_customers(&mut site, 3, &[("few", 8), ("third", 0)]);
    let mut site = sharing(site);
    assert_eq!(share_of(&site, "many").weight, 8);
    assert_eq!(started_jobs(&site.plan()), [few]);
}

/// Guards against shares that overflow, which ends a core: anyone who reaches a core may send a heartbeat with any capacity, and rules may
/// contain any guarantee.
#[test]
fn shares_do_not_overflow_with_absurd_capacities() {
    let (mut site, _, _) = contended_site(
        2,
        &[("many", u64::MAX), ("few", u64::MAX - 1), ("third", 0)],
    );
    for index in 4..6 {
        let mut info = support::worker_info(index, 8);
        info.capacity = Resources {
            cpu_millis: u64::MAX,
            memory_mb: u64::MAX,
            accelerators: 0,
        };
        let known = WorkerChange::Known(info);
        site.workload.apply(Command::Workers(vec![known]));
    }
    site.take_events();
    assert_eq!(share_of(&site, "many").weight, u64::MAX);
}

/// Customers that submit a steady load, with their guaranteed accelerators and the share of all accelerators that each uses.
const STEADY: [(&str, u64, f64); 2] = [("large", 64, 0.6), ("small", 16, 0.15)];
const WORKERS: usize = 16;
/// Jobs that take one worker each which the site can end within 100 ms.
const JOBS_PER_STEP: f64 = 16.0 * 0.1 / 5.0;

/// A run in progress on a modelled worker.
struct Running {
    run: RunId,
    worker: Incarnation,
    end_ms: u64,
}

/// Returns the share of the steady customers' jobs that end in time within 90 s. From 20 s to 30 s, the customer `burst`, which is guaranteed
/// `guaranteed` accelerators, submits jobs at `burst` times the rate that the whole site can serve.
fn share_in_time(is_shared: bool, guaranteed: u64, burst: f64) -> f64 {
    const ACCELERATORS: u64 = 8;
    const END_MS: u64 = 90_000;
    const OBJECTIVE_MS: u64 = 3 * RUN_MS + 1_000;
    let customers = STEADY
        .iter()
        .map(|(name, guaranteed, _)| (*name, *guaranteed));
    let customers: Vec<(&str, u64)> = customers.chain([("burst", guaranteed)]).collect();
    let mut site = site_of(WORKERS, &customers);
    if is_shared {
        site = sharing(site);
    }
    let start_ms = site.now_ms;
    let mut submitting = vec![("burst", 0.0, 0.0)];
    submitting.extend(STEADY.map(|(name, _, load)| (name, load, 0.0)));
    let mut steady_jobs: Vec<JobId> = Vec::new();
    let mut running: Vec<Running> = Vec::new();
    while site.now_ms < start_ms + END_MS {
        site.advance(100);
        let now_ms = site.now_ms;
        let over = running.extract_if(.., |running| running.end_ms <= now_ms);
        let ends = over.map(|over| end_of(&(over.worker, over.run), EndKind::Done));
        let ends = Command::ends(ends.collect()).at(site.wall_ms());
        site.workload.apply(ends);
        site.take_events();
        submitting[0].1 = if (20_000..30_000).contains(&(now_ms - start_ms)) {
            burst
        } else {
            0.0
        };
        for (name, load, due) in &mut submitting {
            *due += *load * JOBS_PER_STEP;
            while *due >= 1.0 {
                *due -= 1.0;
                let job = site.submit(2, name, vec![step(1, ACCELERATORS)]);
                if *name != "burst" {
                    steady_jobs.push(job);
                }
            }
        }
        let plan = site.plan_and_start();
        site.send_starts();
        running.extend(plan.starts.into_iter().map(|start| Running {
            run: start.run,
            worker: start.worker,
            end_ms: now_ms + RUN_MS,
        }));
    }
    let wall_ms = site.wall_ms();
    // Jobs that could not end by now if they started at once and in time are left out.
    let jobs: Vec<&Job> = steady_jobs
        .iter()
        .filter_map(|job| site.workload.job(*job))
        .filter(|job| job.accepted_ms + OBJECTIVE_MS <= wall_ms)
        .collect();
    let in_time =
        |job: &&&Job| job.outcome.is_some() && job.ended_ms <= job.accepted_ms + OBJECTIVE_MS;
    let count = |number: usize| f64::from(u32::try_from(number).unwrap());
    count(jobs.iter().filter(in_time).count()) / count(jobs.len())
}

/// Guards against a burst of one customer that makes the others late. The load is two customers that use three quarters of the site, each
/// a little less than its entitlement, and a burst of a third one of three times the capacity of the
/// site for 10 s.
#[rstest]
#[case::of_the_smallest_customer(0)]
#[case::of_a_customer_with_a_guarantee(24)]
fn a_burst_leaves_the_other_customers_in_time(#[case] guaranteed: u64) {
    let without = share_in_time(true, guaranteed, 0.0);
    let with = share_in_time(true, guaranteed, 3.0);
    let unshared = share_in_time(false, guaranteed, 3.0);
    assert!(
        with >= without - 0.05,
        "{with} with the burst, {without} without"
    );
    assert!(
        unshared < without - 0.05,
        "the burst is too small: {unshared} without shares"
    );
}
