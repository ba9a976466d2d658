//! Capacity that is held for a gang until enough of it is free, and small tasks that end before the gang can start.

mod support;

use bh_protocol::Incarnation;
use bh_workload::job::JobId;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::job::StepSpec;
use bh_workload::plan::Policy;
use bh_workload::plan::Runtimes;
use bh_workload::state::End;
use bh_workload::state::EndKind;
use rstest::rstest;
use std::sync::Arc;
use support::Site;
use support::run_of;
use support::step;

/// Run time of the short tasks, in milliseconds.
const SHORT_MS: u64 = 1_000;
/// Run time of the tasks that fill the site at first, in milliseconds.
const LONG_MS: u64 = 20_000;
/// Number of runs from which the planner learns how long nearly all of a kind take.
const LEARNT_RUNS: u32 = 32;
/// Time between two plans, in milliseconds.
const TURN_MS: u64 = 200;

fn small_tasks(count: u32, declared_ms: u64) -> StepSpec {
    StepSpec {
        declared_ms,
        ..step(count, 1)
    }
}

/// A site of four workers that has learnt how long short and long tasks take, and where no capacity is kept for urgent work. Tasks of priority
/// 2 are short and those of priority 1 are long.
fn site(policy: Policy) -> Site {
    let mut site = Site::new(4, 4);
    site.planner = site.planner.clone().with_policy(policy);
    site.advance(60_000);
    for (priority, run_ms) in [(2, SHORT_MS), (1, LONG_MS)] {
        let job = site.submit(priority, "other", vec![small_tasks(LEARNT_RUNS, run_ms)]);
        run_to_the_end(&mut site, job, LEARNT_RUNS, run_ms);
    }
    site
}

/// Starts all tasks of a job and ends them after `run_ms`, so that the planner learns their run time.
fn run_to_the_end(site: &mut Site, job: JobId, count: u32, run_ms: u64) {
    site.plan_and_start();
    site.send_starts();
    site.report();
    site.advance(run_ms);
    site.report();
    for index in 0..count {
        let run = run_of(site, job, index);
        end_and_learn(site, run);
    }
}

/// Ends a run as done; the planner learns from it.
fn end_and_learn(site: &mut Site, run: RunId) {
    let holder = site.workload.holder(run);
    let ends: Vec<End> = holder
        .map(|worker| End {
            run,
            worker: worker.info.id.clone(),
            kind: EndKind::Done,
            checkpoint: None,
        })
        .into_iter()
        .collect();
    site.planner
        .note_ends(site.now_ms, &ends, &site.workload, &site.dispatcher);
    site.end(run, EndKind::Done);
}

/// One long task runs on each worker, and a gang waits that needs whole workers.
fn with_waiting_gang(policy: Policy) -> (Site, JobId) {
    let mut site = site(policy);
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..small_tasks(4, LONG_MS)
    };
    site.submit(1, "other", vec![spread]);
    assert_eq!(site.plan_and_start().starts.len(), 4);
    site.send_starts();
    let gang = StepSpec {
        gang: true,
        ..step(4, 8)
    };
    let gang = site.submit(1, "other", vec![gang]);
    assert!(site.plan().starts.is_empty(), "the gang does not fit");
    (site, gang)
}

/// Guards against capacity that is idle while it is held for a gang: tasks that end before the gang can start use it. Tasks that do not end by then
/// wait, or the gang would starve behind them.
#[rstest]
#[case::short_tasks(2, SHORT_MS, Policy::new().with_backfill(), 28)]
#[case::long_tasks(1, LONG_MS, Policy::new().with_backfill(), 0)]
#[case::without_the_policy(2, SHORT_MS, Policy::new(), 0)]
fn tasks_that_end_in_time_use_held_capacity(
    #[case] priority: u32,
    #[case] run_ms: u64,
    #[case] policy: Policy,
    #[case] started: usize,
) {
    let (mut site, _) = with_waiting_gang(policy);
    site.submit(priority, "other", vec![small_tasks(40, run_ms)]);
    assert_eq!(site.plan().starts.len(), started);
}

/// All workers have just started and are slow for a while. Guards against letting tasks use held capacity there by run times that were learnt
/// on warm workers: they would delay the gang.
#[test]
fn held_capacity_of_cold_workers_is_not_used() {
    let (mut site, _) = with_waiting_gang(Policy::new().with_backfill());
    // The last start on each worker is long enough ago for another one on a cold worker.
    site.report();
    site.advance(LONG_MS / 4);
    site.report();
    site.submit(2, "other", vec![small_tasks(40, SHORT_MS)]);
    assert!(!site.plan().starts.is_empty());
    let workers = site.workload.workers();
    let ids: Vec<Incarnation> = workers.map(|worker| worker.info.id.clone()).collect();
    for id in ids {
        site.dispatcher.note_cold(site.now_ms, &id, LONG_MS);
    }
    assert!(site.plan().starts.is_empty());
}

/// Guards against a gang that starves behind a stream of small tasks: it starts when the runs end that were there when it arrived.
#[test]
fn a_stream_of_small_tasks_does_not_delay_the_gang() {
    let (mut site, gang) = with_waiting_gang(Policy::new().with_backfill());
    let long_runs = site.open_runs();
    let arrived_ms = site.now_ms;
    let mut backfilled = 0;
    let mut started_ms = None;
    while started_ms.is_none() && site.now_ms < arrived_ms + 2 * LONG_MS {
        site.submit(2, "other", vec![small_tasks(20, SHORT_MS)]);
        let starts = site.plan_and_start().starts;
        backfilled += starts.len();
        site.send_starts();
        site.report();
        if starts.iter().any(|start| start.run.task.step.job == gang) {
            started_ms = Some(site.now_ms);
        }
        site.advance(TURN_MS);
        let is_short = |run: &RunId| !long_runs.iter().any(|(_, long)| long == run);
        let all = site.open_runs();
        let ended = all.into_iter().map(|(_, run)| run).filter(|run| {
            let run_ms = if is_short(run) { SHORT_MS } else { LONG_MS };
            let since_ms = site
                .dispatcher
                .views()
                .find_map(|(_, target)| Some(target.runs.get(run)?.since_ms));
            run.task.step.job != gang && since_ms.is_some_and(|ms| site.now_ms >= ms + run_ms)
        });
        for run in ended.collect::<Vec<_>>() {
            site.end(run, EndKind::Done);
        }
    }
    assert!(backfilled > 100, "{backfilled} tasks used held capacity");
    let waited_ms = started_ms.map(|ms| ms - arrived_ms);
    assert!(
        waited_ms.is_some_and(|ms| ms <= LONG_MS + 2 * TURN_MS),
        "the gang started after {waited_ms:?} ms"
    );
}

/// Guards against a reservation on a worker that was lost: the gang gets capacity on the others at the next pass, and what was let in before does
/// not keep it from there.
#[test]
fn a_gang_whose_worker_is_lost_is_held_for_elsewhere() {
    let mut site = site(Policy::new().with_backfill());
    let spread = StepSpec {
        most_per_worker: Some(1),
        ..small_tasks(4, LONG_MS)
    };
    site.submit(1, "other", vec![spread]);
    site.plan_and_start();
    site.send_starts();
    let gang = StepSpec {
        gang: true,
        ..step(3, 8)
    };
    let gang = site.submit(1, "other", vec![gang]);
    site.plan();
    let (lost, _) = site.open_runs()[0].clone();
    site.crash(&lost);
    site.report();
    site.advance(LONG_MS + TURN_MS);
    for (worker, run) in site.open_runs() {
        if worker != lost {
            site.end(run, EndKind::Done);
        }
    }
    site.report();
    let starts = site.plan().starts;
    let own = starts
        .iter()
        .filter(|start| start.run.task.step.job == gang);
    assert_eq!(own.count(), 3);
}

/// A quarter of the workers are 2.2 times slower, so the first task of a step to end has run on a fast one. Guards against letting the other
/// tasks use held capacity on the strength of that one run: those on slow workers would delay the gang.
#[test]
fn one_ended_run_does_not_bound_the_others() {
    let queue = Arc::from("q2");
    let spec = small_tasks(40, SHORT_MS);
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    let other = StepId {
        job: JobId(2),
        ..step
    };
    let mut runtimes = Runtimes::default();
    for _ in 1..LEARNT_RUNS {
        runtimes.record(&queue, other, &spec, 2 * SHORT_MS);
        assert_eq!(runtimes.tail_ms(&queue, step, &spec), None);
    }
    runtimes.record(&queue, step, &spec, SHORT_MS);
    let tail_ms = runtimes.tail_ms(&queue, step, &spec);
    assert!(tail_ms.is_some_and(|ms| ms >= 2 * SHORT_MS), "{tail_ms:?}");
}

/// Guards against decisions that take effect in fleets that are too small for them: a site of four workers is planned as without them.
#[rstest]
#[case::fewer_workers(5, 0)]
#[case::enough_workers(4, 28)]
fn a_small_fleet_is_planned_as_without_the_policy(
    #[case] min_workers: usize,
    #[case] started: usize,
) {
    let policy = Policy::new().with_backfill().with_min_workers(min_workers);
    let (mut site, _) = with_waiting_gang(policy);
    site.submit(2, "other", vec![small_tasks(40, SHORT_MS)]);
    assert_eq!(site.plan().starts.len(), started);
}
