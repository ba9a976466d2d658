//! Makes the leader's plans and carries them out.

use super::advice;
use super::core_node::CoreNode;
use super::leadership::Leadership;
use super::load_reports::CUSTOMER_LABEL;
use super::plan_gap::plan_gap_ms;
use super::records::propose;
use super::run_ends::failures;
use bh_protocol::Incarnation;
use bh_workload::job::RunId;
use bh_workload::plan::Plan;
use bh_workload::state::Command;
use bh_workload::state::Reply;
use bh_workload::state::Start;
use bh_workload::state::Task;
use bh_workload::state::Workload;
use std::rc::Rc;

/// Maximum time between plans, in milliseconds. Waiting limits expire and start times are reached without an event that makes a plan due.
const MAX_PLAN_INTERVAL_MS: u64 = 200;

/// Makes a plan if one is due, records the runs to start, and stops the runs that the plan evicts to free
/// capacity for others.
pub(super) fn plan(core: &Rc<CoreNode>) {
    let now_ms = core.clock.now_ms();
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let due = leadership.plan_due || now_ms >= leadership.last_plan_ms + MAX_PLAN_INTERVAL_MS;
    if !due || now_ms < leadership.next_plan_ms {
        return;
    }
    if leadership.starts_record.is_open() {
        let deferred = leadership.starts_record.defer_plan();
        core.metrics.count("plans_deferred", u64::from(deferred));
        return;
    }
    leadership.plan_due = false;
    leadership.last_plan_ms = now_ms;
    let workload = core.group.machine.read();
    stop_runs_cut_short(core, leadership, now_ms, &workload);
    let planner = &mut leadership.planner;
    let Plan {
        starts,
        evictions,
        questions,
        reserved,
        released,
    } = planner.plan(now_ms, core.wall_ms(), &workload, &leadership.dispatcher);
    drop(workload);
    let end_ms = core.clock.now_ms();
    let took_ms = end_ms.saturating_sub(now_ms);
    leadership.next_plan_ms = end_ms + plan_gap_ms(took_ms);
    core.metrics.time_ms("plan", took_ms);
    advice::ask(core, leadership, now_ms, questions);
    for (step, why) in released {
        log::info!(step = step.to_string(), why:? = why; "room is no longer made");
    }
    for (step, workers) in reserved {
        log::info!(step = step.to_string(), workers; "room is made");
    }
    log_evictions(core, &evictions);
    for (worker, run) in &evictions {
        leadership.dispatcher.request_stop(worker, *run);
    }
    if !evictions.is_empty() {
        core.metrics
            .count("runs_displaced", evictions.len().try_into().unwrap_or(0));
        core.wake();
    }
    if starts.is_empty() {
        return;
    }
    leadership.starts_record.begin(end_ms);
    let term = leadership.term;
    core.metrics
        .count("runs_planned", starts.len().try_into().unwrap_or(0));
    log_starts(core, leadership, now_ms, &starts);
    drop(held);
    let core = core.clone();
    monoio::spawn(async move {
        match propose(&core, Command::Starts(starts)).await {
            Ok(Reply::Started(refused)) if !refused.is_empty() => {
                log::info!(steps = refused.len(); "starts dropped because of earlier changes");
            }
            Ok(_) => {}
            Err(failure) => log::warn!("starts not recorded: {failure}"),
        }
        if let Some(leadership) = core.leadership.borrow_mut().as_mut()
            && leadership.term == term
        {
            leadership.starts_record.end();
            leadership.plan_due = true;
        }
        core.wake();
    });
}

/// Logs each run that is stopped to make room, and counts it for its customer.
fn log_evictions(core: &CoreNode, evictions: &[(Incarnation, RunId)]) {
    let workload = core.group.machine.read();
    for (worker, run) in evictions {
        let job = workload.job(run.task.step.job);
        let customer = job.and_then(|job| job.customer.as_deref());
        let label = (CUSTOMER_LABEL, customer);
        core.metrics.count_with("customer_runs_stopped", label, 1);
        log::info!(run = run.to_string(), worker = worker.to_string(), customer = customer.unwrap_or("-"); "stopped to make room for guaranteed work");
    }
}

/// Stops runs that would be cut short: they cannot end before their worker leaves.
fn stop_runs_cut_short(
    core: &CoreNode,
    leadership: &mut Leadership,
    now_ms: u64,
    workload: &Workload,
) {
    let cut_short =
        leadership
            .planner
            .cut_short((now_ms, core.wall_ms()), workload, &leadership.dispatcher);
    for (worker, run) in cut_short {
        core.metrics.count("runs_cut_short", 1);
        log::info!(run = run.to_string(), worker = worker.to_string(); "stopped since its worker leaves before it can end");
        leadership.dispatcher.request_restart(&worker, run);
    }
}

/// Logs each start with the inputs of the decision: how long the job has waited, the rules version, and when the worker was last heard
/// from.
fn log_starts(core: &Rc<CoreNode>, leadership: &Leadership, now_ms: u64, starts: &[Start]) {
    let workload = core.group.machine.read();
    let wall_ms = core.wall_ms();
    let rules_version = workload.rules.as_ref().map_or(0, |rules| rules.version);
    for start in starts {
        let job = workload.job(start.run.task.step.job);
        let priority = job.map_or(0, |job| workload.queue_of(job).priority);
        let failures = failures(&workload, start.run.task);
        let max_attempts = job.map_or(0, |job| workload.max_attempts(job));
        let crashes = workload.task(start.run.task).map_or(0, Task::all_crashes);
        let waited_ms = job.map_or(0, |job| wall_ms.saturating_sub(job.accepted_ms));
        let clock = leadership
            .dispatcher
            .view(&start.worker)
            .and_then(|target| target.clock);
        let heard_ms_ago = clock.map_or(0, |clock| now_ms.saturating_sub(clock.at_ms));
        log::info!(
            run = start.run.to_string(), worker = start.worker.to_string(), term = leadership.term, failures, max_attempts, crashes, priority, waited_ms, rules_version, heard_ms_ago;
            "run planned"
        );
    }
}
