//! Tests of the load by customer and by queue that operators read.
mod support;

use bh_workload::job::JobId;
use bh_workload::job::JobSpec;
use bh_workload::job::Schedule;
use bh_workload::job::StepSpec;
use bh_workload::plan::CustomerLoad;
use bh_workload::plan::FleetLoad;
use bh_workload::plan::LoadCounts;
use bh_workload::plan::QueueLoad;
use bh_workload::rules::Customer;
use bh_workload::rules::Queue;
use bh_workload::rules::Rules;
use bh_workload::state::Command;
use bh_workload::state::EndKind;
use bh_workload::state::Place;
use bh_workload::state::Reply;
use bh_workload::state::WorkerChange;
use bh_workload::state::Workload;
use std::sync::Arc;
use support::HOST;
use support::POOL;
use support::Site;
use support::place;
use support::rules;
use support::run_of;
use support::step;

/// A site on which no capacity is kept for urgent work any more.
fn quiet_site(workers: usize) -> Site {
    let mut site = Site::new(workers, workers);
    site.advance(60_000);
    site
}

fn load(site: &Site) -> FleetLoad {
    FleetLoad::new(&site.workload, site.wall_ms())
}

fn customer(site: &Site, name: &str) -> Option<CustomerLoad> {
    let mut customers = load(site).customers.into_iter();
    customers.find(|load| load.customer.as_deref() == Some(name))
}

fn queue(site: &Site, name: &str) -> Option<QueueLoad> {
    let mut queues = load(site).queues.into_iter();
    queues.find(|load| &*load.queue == name)
}

fn set_rules(site: &mut Site, rules: Rules) {
    let reply = site.workload.apply(Command::SetRules(Box::new(rules)));
    assert_eq!(reply, Reply::Done);
    site.take_events();
}

/// Guards against load that is counted twice, for nobody, or for the wrong customer: under a burst of one customer over a full pool, the
/// sums by customer and by queue are those of the record.
#[test]
fn every_job_and_run_counts_once_for_its_customer_and_queue() {
    let mut site = quiet_site(4);
    site.submit(0, "guaranteed", vec![step(2, 4)]);
    site.submit(1, "guaranteed", vec![step(3, 1)]);
    site.plan_and_start();
    // After this time without urgent work, no capacity is kept for it, so the burst can fill the pool.
    site.advance(60_000);
    for _ in 0..10 {
        site.submit(2, "other", vec![step(8, 1)]);
    }
    site.plan_and_start();
    let load = load(&site);
    let of_customers = load.customers.iter().map(|load| load.counts);
    let of_queues = load.queues.iter().map(|load| load.counts);
    let sum = |counts: Vec<LoadCounts>| {
        let mut sum = LoadCounts::default();
        counts.iter().for_each(|counts| sum.add(counts));
        sum
    };
    let all = sum(of_customers.collect());
    assert_eq!(all, sum(of_queues.collect()));
    let workers = || site.workload.workers();
    let used: u64 = workers()
        .map(|worker| worker.info.capacity.accelerators - worker.free().accelerators)
        .sum();
    let runs = u64::try_from(site.open_runs().len()).unwrap();
    assert_eq!((all.accelerators, all.runs), (used, runs));
    assert_eq!(used, 32, "the pool is full");
    assert_eq!((all.active_jobs, all.waiting_tasks), (12, 85 - runs));

    let guaranteed = customer(&site, "guaranteed").unwrap();
    assert_eq!(guaranteed.guaranteed_accelerators, 16);
    assert_eq!(guaranteed.counts.accelerators, 2 * 4 + 3);
    assert_eq!(guaranteed.counts.waiting_tasks, 0);
    let other = customer(&site, "other").unwrap();
    assert_eq!(other.guaranteed_accelerators, 0);
    assert_eq!(other.counts.active_jobs, 10);
    assert_eq!(queue(&site, "q2").unwrap().counts, other.counts);
}

/// Guards against tasks that count as waiting although nothing could start them: tasks of later steps, and of occurrences that are not due.
#[test]
fn only_tasks_that_could_start_now_wait() {
    let mut site = quiet_site(1);
    let later = StepSpec {
        after: vec![0],
        ..step(5, 1)
    };
    site.submit(1, "other", vec![step(2, 1), later]);
    let id = JobId(77);
    let spec = JobSpec {
        steps: vec![step(3, 1)],
        schedule: Some(Schedule {
            first_due_ms: site.wall_ms(),
            interval_ms: 1_000,
            times: 100,
        }),
        ..JobSpec::default()
    };
    site.workload.apply(Command::Accept {
        place: place(2, "other", id),
        spec,
        now_ms: site.wall_ms(),
    });
    let counts = |site: &Site| customer(site, "other").unwrap().counts;
    assert_eq!(
        (counts(&site).waiting_tasks, counts(&site).waiting_jobs),
        (5, 2)
    );
    site.advance(1_000);
    assert_eq!(counts(&site).waiting_tasks, 8);
    site.plan_and_start();
    assert_eq!((counts(&site).waiting_tasks, counts(&site).runs), (0, 8));
    assert_eq!(
        (counts(&site).waiting_jobs, counts(&site).active_jobs),
        (0, 2)
    );
}

/// Guards against load that disappears from the report with its customer: a customer is removed from the rules, another one renamed, while
/// their jobs wait and run. They are reported under their old names until nothing of them is left.
#[test]
fn customers_that_were_removed_are_reported_until_their_runs_end() {
    let mut site = quiet_site(1);
    let job = site.submit(1, "other", vec![step(2, 4)]);
    site.plan_and_start();
    site.submit(1, "guaranteed", vec![step(1, 8)]);
    let mut changed = rules(2);
    changed.customers = vec![Arc::new(Customer {
        name: Arc::from("renamed"),
        ..(*changed.customers[0]).clone()
    })];
    set_rules(&mut site, changed);
    let other = customer(&site, "other").unwrap();
    assert!(!other.is_in_rules);
    assert_eq!((other.counts.runs, other.counts.accelerators), (2, 8));
    let former = customer(&site, "guaranteed").unwrap();
    assert!(!former.is_in_rules);
    assert_eq!(
        (former.counts.waiting_jobs, former.guaranteed_accelerators),
        (1, 0)
    );
    let renamed = customer(&site, "renamed").unwrap();
    assert!(renamed.is_in_rules);
    assert_eq!(renamed.counts, LoadCounts::default());
    let (first, second) = (run_of(&site, job, 0), run_of(&site, job, 1));
    site.end(first, EndKind::Done);
    assert_eq!(customer(&site, "other").unwrap().counts.runs, 1);
    site.end(second, EndKind::Done);
    assert_eq!(customer(&site, "other"), None);
}

/// Guards against load that disappears from the report with its queue.
#[test]
fn queues_that_were_removed_are_reported_until_their_jobs_end() {
    let mut site = quiet_site(1);
    let job = site.submit(1, "other", vec![step(1, 1)]);
    let mut without = rules(2);
    without.queues.retain(|queue| &*queue.name != "q1");
    set_rules(&mut site, without);
    site.plan_and_start();
    let removed = queue(&site, "q1").unwrap();
    assert!(!removed.is_in_rules);
    assert_eq!((removed.priority, &*removed.pool), (1, POOL));
    assert_eq!((removed.counts.active_jobs, removed.counts.runs), (1, 1));
    site.end(run_of(&site, job, 0), EndKind::Done);
    assert_eq!(queue(&site, "q1"), None);
}

/// Guards against capacity that nobody seems to use: the runs of a cancelled job use their workers until each of them has ended.
#[test]
fn runs_of_a_cancelled_job_count_until_they_end() {
    let mut site = quiet_site(1);
    let job = site.submit(1, "other", vec![step(2, 4)]);
    site.plan_and_start();
    site.cancel(1, "other", job);
    let counts = customer(&site, "other").unwrap().counts;
    assert_eq!((counts.active_jobs, counts.waiting_tasks), (0, 0));
    assert_eq!((counts.runs, counts.accelerators), (2, 8));
    for index in 0..2 {
        site.end(run_of(&site, job, index), EndKind::Stopped);
    }
    let counts = customer(&site, "other").unwrap().counts;
    assert_eq!(counts, LoadCounts::default());
}

/// Guards against capacity that stays attributed to a customer after its worker is lost with its runs.
#[test]
fn runs_on_a_lost_worker_wait_again() {
    let mut site = quiet_site(1);
    site.submit(1, "other", vec![step(2, 4)]);
    site.plan_and_start();
    let worker = site.open_runs()[0].0.clone();
    site.workload
        .apply(Command::Workers(vec![WorkerChange::Gone(worker)]));
    let counts = customer(&site, "other").unwrap().counts;
    assert_eq!((counts.runs, counts.accelerators), (0, 0));
    assert_eq!((counts.waiting_jobs, counts.waiting_tasks), (1, 2));
}

/// Guards against jobs of unidentified callers that count for a customer. A public queue accepts calls without a key.
#[test]
fn jobs_without_a_customer_have_a_row_of_their_own() {
    let mut site = quiet_site(1);
    let mut changed = rules(2);
    changed.queues.push(Arc::new(Queue {
        name: Arc::from("open"),
        path_prefix: Arc::from("/open/"),
        public: true,
        ..(*changed.queues[2]).clone()
    }));
    set_rules(&mut site, changed);
    let id = JobId(99);
    let reply = site.workload.apply(Command::Accept {
        place: Place {
            host: Arc::from(HOST),
            path: Arc::from(format!("/open/{id}")),
            key: None,
        },
        spec: JobSpec {
            steps: vec![step(1, 1)],
            ..JobSpec::default()
        },
        now_ms: site.wall_ms(),
    });
    assert_eq!(reply, Reply::Done);
    let last = load(&site).customers.pop().unwrap();
    assert_eq!((last.customer, last.is_in_rules), (None, false));
    assert_eq!((last.counts.active_jobs, last.counts.waiting_jobs), (1, 1));
    assert_eq!(queue(&site, "open").unwrap().counts, last.counts);
}

/// Guards against a report that depends on what only one leader knows: it is the same from a restored snapshot.
#[test]
fn the_report_is_the_same_from_a_snapshot() {
    let mut site = quiet_site(2);
    site.submit(0, "guaranteed", vec![step(4, 1)]);
    site.submit(2, "other", vec![step(30, 1)]);
    site.plan_and_start();
    let snapshot = (Workload::CODEC.snapshot)(&site.workload).unwrap();
    let before = load(&site);
    let mut restored = Workload::default();
    (Workload::CODEC.restore)(&mut restored, &snapshot).unwrap();
    assert_eq!(FleetLoad::new(&restored, site.wall_ms()), before);
}

/// Guards against an order that changes from read to read. Metrics name only the first customers, so the order decides which ones.
#[test]
fn customers_with_large_guarantees_come_first() {
    let mut site = quiet_site(1);
    let mut changed = rules(2);
    for (name, guaranteed_accelerators) in [("b", 4), ("a", 4), ("largest", 99)] {
        changed.customers.push(Arc::new(Customer {
            name: Arc::from(name),
            keys: Vec::new(),
            guaranteed_accelerators,
        }));
    }
    set_rules(&mut site, changed);
    site.submit(2, "other", vec![step(30, 1)]);
    let names: Vec<_> = load(&site)
        .customers
        .into_iter()
        .filter_map(|load| load.customer)
        .collect();
    let names: Vec<&str> = names.iter().map(|name| &**name).collect();
    assert_eq!(names, ["largest", "guaranteed", "a", "b", "other"]);
}
