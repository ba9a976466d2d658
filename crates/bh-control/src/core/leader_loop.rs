//! The leader's main loop: takes over the replicated state, sends orders and plans.

use super::admit;
use super::core_node::CoreNode;
use super::inherited_runs::InheritedRuns;
use super::job_ends;
use super::leadership::Leadership;
use super::orders::send_due_orders;
use super::planning::plan;
use super::records::Origin;
use super::records::RECORD_TIMEOUT_MS;
use super::records::record;
use super::runnable_tracker::RunnableTracker;
use super::starts_record::StartsRecord;
use super::surveys;
use super::upkeep;
use bh_net::runtime::within_ms;
use bh_workload::admission::AdmissionController;
use bh_workload::dispatch::Dispatcher;
use bh_workload::plan::OverdueReason;
use bh_workload::plan::Planner;
use bh_workload::state::Command;
use bh_workload::state::Workload;
use bh_workload::upkeep::WaveScheduler;
use local_sync::mpsc::unbounded;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum time between two iterations of the loop while leading, in milliseconds. Timers fire late by at most this much.
const LOOP_INTERVAL_MS: u64 = 50;
/// Maximum time between two iterations while not leading, in milliseconds.
const IDLE_LOOP_INTERVAL_MS: u64 = 250;
/// Time between checks for overdue runs, in milliseconds.
const OVERDUE_CHECK_MS: u64 = 400;
/// Time since the last contact with a majority after which a leader sends no more orders, in milliseconds. Another leader may have been
/// elected without its knowledge, for instance while this VM was suspended.
const QUORUM_TIMEOUT_MS: u64 = 1_500;
/// Time between checks whether inherited runs are confirmed or have ended, in milliseconds.
const INHERITED_CHECK_MS: u64 = 100;
/// Time between removals of ended jobs past their retention time and of idle connections, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 10_000;

/// Longest time without a leader, in milliseconds, after which a new leader gives a worker work before it has heard from it. A worker's
/// capacity may change at any time, so what it last reported is trusted for about three heartbeat intervals. Up to one of them may have
/// passed between its last heartbeat and the loss of the leader, and this constant is the rest. Most outages of all cores are shorter.
const MAX_TRUSTED_GAP_MS: u64 = 2_500;

/// Runs the loop until the process ends.
pub async fn run(core: Rc<CoreNode>, mut wakes: unbounded::Rx<()>) {
    let mut cleaned_up_ms = core.clock.now_ms();
    loop {
        let leads = core.leadership.borrow().is_some();
        let wait_ms = if leads {
            LOOP_INTERVAL_MS
        } else {
            IDLE_LOOP_INTERVAL_MS
        };
        if let Some(None) = within_ms(wait_ms, wakes.recv()).await {
            return;
        }
        core.wake_pending.set(false);
        run_once(&core).await;
        if core.clock.now_ms() >= cleaned_up_ms + CLEANUP_INTERVAL_MS {
            cleaned_up_ms = core.clock.now_ms();
            forget_old_jobs(&core);
            core.workers.age_out();
        }
    }
}

async fn run_once(core: &Rc<CoreNode>) {
    let status = core.group.status();
    let led_term = core.leadership.borrow().as_ref().map(|held| held.term);
    if !status.is_leader {
        core.last_led_ms.set(status.last_leader_contact_ms);
        if led_term.is_some() {
            step_down(core, "another leads, or no majority answers");
        }
        core.group.machine.with_local(Workload::take_events);
        return;
    }
    if led_term != Some(status.term) {
        if led_term.is_some() {
            step_down(core, "a new term began");
        }
        take_over(core, status.term).await;
    }
    let now_ms = core.clock.now_ms();
    admit::note_iteration(core, now_ms);
    let confirmed = status
        .quorum_confirmed_ms
        .is_some_and(|confirmed_ms| now_ms < confirmed_ms + QUORUM_TIMEOUT_MS);
    if !confirmed {
        surveys::survey(core, confirmed);
        return;
    }
    core.last_led_ms.set(Some(now_ms));
    check_inherited_runs(core, now_ms);
    check_overdue(core, now_ms);
    upkeep::advance_waves(core, now_ms);
    send_due_orders(core, now_ms);
    plan(core);
    surveys::survey(core, confirmed);
}

fn step_down(core: &Rc<CoreNode>, why: &str) {
    let led = core.leadership.borrow_mut().take();
    let standing_still = led.map_or(0, |led| led.runnable.stalled_jobs());
    if !core.shares_workers() {
        core.workers.close();
    }
    log::info!(core = &*core.config.name, standing_still; "stops leading: {why}");
    core.inbound.broadcast(&core.status());
}

/// Waits until everything that earlier leaders recorded is applied, then starts to lead.
async fn take_over(core: &Rc<CoreNode>, term: u64) {
    if core.group.read(RECORD_TIMEOUT_MS).await.is_err() || core.group.status().term != term {
        return;
    }
    let now_ms = core.clock.now_ms();
    core.group.machine.with_local(Workload::take_events);
    let workload = core.group.machine.read();
    let gap_ms = leaderless_ms(core, now_ms, &workload);
    let mut dispatcher = Dispatcher::new(core.config.timing(), term, now_ms, &workload);
    if gap_ms > MAX_TRUSTED_GAP_MS {
        dispatcher = dispatcher.with_outdated_worker_info();
    }
    core.undelivered_heartbeats
        .borrow_mut()
        .replay(&mut dispatcher, &workload);
    let inherited_runs = InheritedRuns::new(&workload);
    let runs = inherited_runs.count();
    let jobs = workload.active_jobs().count();
    let broken = workload.active_jobs().map(|(id, job)| job.broken_gangs(id));
    let gangs_broken: usize = broken.sum();
    drop(workload);
    let wave_scheduler = WaveScheduler::new(
        core.config.name.clone(),
        term,
        now_ms,
        &core.config.timing(),
    );
    core.open_calls.borrow_mut().clear();
    *core.leadership.borrow_mut() = Some(Leadership {
        term,
        wave_scheduler,
        dispatcher,
        planner: Planner::new().with_policy(core.config.planner_policy()),
        admission: AdmissionController::new(core.config.policy.admission(), LOOP_INTERVAL_MS),
        starts_record: StartsRecord::new(),
        plan_due: true,
        last_plan_ms: 0,
        next_plan_ms: 0,
        inherited_runs,
        last_inherited_check_ms: 0,
        runnable: RunnableTracker::new(),
        next_survey_ms: 0,
        last_sweep_ms: 0,
        last_overdue_check_ms: 0,
        heartbeat_sequences: BTreeMap::new(),
    });
    core.metrics.count("leads", 1);
    log::info!(core = &*core.config.name, term, jobs, gangs_broken, runs, gap_ms; "leads");
    core.inbound.broadcast(&core.status());
}

/// How long there was no leader, in milliseconds. If this core has known no leader since its process started, as after a restart of all
/// cores, the time is counted from when a leader last recorded something in the replicated state.
fn leaderless_ms(core: &CoreNode, now_ms: u64, workload: &Workload) -> u64 {
    match core.last_led_ms.get() {
        Some(last_led_ms) => now_ms.saturating_sub(last_led_ms),
        None => core.wall_ms().saturating_sub(workload.latest_ms),
    }
}

/// Checks whether every inherited run is confirmed or has ended. Once that is so, logs how long it took since the election, and adds the
/// time to the metrics.
fn check_inherited_runs(core: &Rc<CoreNode>, now_ms: u64) {
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let due = now_ms >= leadership.last_inherited_check_ms + INHERITED_CHECK_MS;
    if !due || leadership.inherited_runs.count() == 0 {
        return;
    }
    leadership.last_inherited_check_ms = now_ms;
    let workload = core.group.machine.read();
    let settled = leadership
        .inherited_runs
        .remove_settled(&workload, &leadership.dispatcher);
    if let Some((worker, run)) = settled {
        let led_ms = now_ms.saturating_sub(leadership.dispatcher.elected_ms());
        core.metrics.time_ms("take_over", led_ms);
        log::info!(core = &*core.config.name, term = leadership.term, led_ms, run = run.to_string(), worker = worker.to_string(); "all inherited runs are confirmed or have ended");
    }
}

fn check_overdue(core: &Rc<CoreNode>, now_ms: u64) {
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    if now_ms < leadership.last_overdue_check_ms + OVERDUE_CHECK_MS {
        return;
    }
    leadership.last_overdue_check_ms = now_ms;
    let workload = core.group.machine.read();
    let overdue = leadership
        .planner
        .overdue(now_ms, &workload, &leadership.dispatcher);
    for late in overdue {
        core.metrics.count("runs_overdue", 1);
        log::info!(run = late.run.to_string(), worker = late.worker.to_string(), why:? = late.why; "run begun anew elsewhere");
        leadership
            .dispatcher
            .request_restart(&late.worker, late.run);
        // A worker on which a run makes no progress would do the same to the next run, so the worker gets no new work for a while.
        if late.why == OverdueReason::Still && !late.gang {
            leadership.dispatcher.set_aside(now_ms, &late.worker);
        }
    }
}

fn forget_old_jobs(core: &Rc<CoreNode>) {
    let term = core.leadership.borrow().as_ref().map(|held| held.term);
    let Some(term) = term else {
        return;
    };
    /// Ended jobs are kept for this much longer than the retention time, in milliseconds, since the cores' wall clocks differ and may jump.
    const CLOCK_MARGIN_MS: u64 = 60_000;
    let before_ms = core
        .wall_ms()
        .saturating_sub(core.config.timing().retention_ms + CLOCK_MARGIN_MS);
    let removed = job_ends::log_removed_jobs(core, &core.group.machine.read(), before_ms);
    let has_old_cancel = core.group.machine.read().has_early_cancel_before(before_ms);
    if removed > 0 || has_old_cancel {
        let origin = Origin {
            term,
            listed_to: None,
        };
        record(core, Command::Forget { before_ms }, origin);
    }
}
