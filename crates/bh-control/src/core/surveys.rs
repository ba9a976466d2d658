//! The leader's regular surveys of waiting work: gauges, and log lines about stalled jobs.

use super::core_node::CoreNode;
use super::job_stall::JobStall;
use super::leadership::Leadership;
use crate::observe::Metrics;
use bh_workload::plan::WaitReason;
use std::rc::Rc;

/// Minimum time between surveys, in milliseconds. It is short compared with the time after which a stalled job is reported.
const MIN_SURVEY_GAP_MS: u64 = 500;
/// Minimum time between surveys as a multiple of the duration of the last one, so that surveys take at most a fiftieth of the leader's
/// processor time.
const SURVEY_GAP_FACTOR: u64 = 50;

/// Longest delay of a survey while load is shed, in milliseconds. Operators are told of stalled jobs also during a long overload.
const MAX_SHED_DELAY_MS: u64 = 10_000;

/// Surveys the waiting work if a survey is due.
pub(super) fn survey(core: &Rc<CoreNode>, confirmed: bool) {
    let now_ms = core.clock.now_ms();
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    let is_delayed = leadership.admission.level().delays_surveys();
    let delay_ms = if is_delayed { MAX_SHED_DELAY_MS } else { 0 };
    if now_ms < leadership.next_survey_ms + delay_ms {
        return;
    }
    let workload = core.group.machine.read();
    let wall_ms = core.wall_ms();
    let times = (now_ms, wall_ms);
    let survey = leadership
        .planner
        .survey(times, &workload, &leadership.dispatcher);
    let changes = leadership.runnable.update(now_ms, &survey, |id| {
        workload.job(id).is_none_or(|job| job.outcome.is_some())
    });
    drop(workload);
    let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    core.metrics.count("standstills", size(changes.started));
    core.metrics
        .count("standstills_untold", size(changes.omitted_lines));
    for stalled_ms in changes.ended_durations_ms {
        core.metrics.time_ms("standstill", stalled_ms);
    }
    for line in &changes.lines {
        log_stall(leadership, (now_ms, wall_ms), confirmed, line);
    }
    if changes.omitted_lines > 0 {
        log::warn!(
            term = leadership.term, left_out = changes.omitted_lines, jobs = leadership.runnable.stalled_jobs();
            "more jobs stand still, or no longer do, than are logged"
        );
    }
    let end_ms = core.clock.now_ms();
    let took_ms = end_ms.saturating_sub(now_ms);
    core.metrics.time_ms("survey", took_ms);
    leadership.next_survey_ms = end_ms + (took_ms * SURVEY_GAP_FACTOR).max(MIN_SURVEY_GAP_MS);
}

/// Logs that a job has been stalled for long, or that it no longer is.
fn log_stall(
    leadership: &Leadership,
    (now_ms, wall_ms): (u64, u64),
    confirmed: bool,
    line: &JobStall,
) {
    let step = &line.step;
    let holder = step.held_by.as_ref();
    let run = holder.map_or("-", |holder| &*holder.run);
    let worker = holder.map_or("-".to_owned(), |holder| holder.worker.to_string());
    let held_ms = holder.map_or(0, |holder| holder.held_ms);
    let reason = step.wait.reason();
    if let Some(end) = line.end {
        log::info!(
            job = line.job.to_string(), step = step.step.to_string(), ended_by:? = end, stood_ms = line.stalled_ms, reason, run, worker, term = leadership.term;
            "job no longer stands still"
        );
        return;
    }
    let accepted_ms_ago = wall_ms.saturating_sub(step.ready_ms);
    let starts_recording_ms = leadership.starts_record.age_ms(now_ms);
    let led_ms = now_ms.saturating_sub(leadership.dispatcher.elected_ms());
    log::warn!(
        job = line.job.to_string(), step = step.step.to_string(), tasks = step.tasks, reason, wait:? = step.wait, stood_ms = line.stalled_ms, accepted_ms_ago, run, worker, held_ms,
        results = step.results, term = leadership.term, led_ms, plan_age_ms = leadership.plan_age_ms(now_ms), starts_recording_ms, confirmed;
        "job stands still though there is room"
    );
}

/// Sets the gauges to the values of the last survey. On a core that does not lead they are 0.
pub(super) fn set_gauges(leadership: Option<&Leadership>, metrics: &Metrics) {
    let tracker = leadership.map(|leadership| &leadership.runnable);
    for reason in WaitReason::REASONS {
        let tasks = tracker.and_then(|tracker| tracker.tasks.get(reason));
        let label = ("reason", reason);
        metrics.gauge_with("runnable_tasks", label, tasks.copied().unwrap_or(0));
    }
    let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let oldest_ms = tracker.map_or(0, |tracker| tracker.oldest_ms);
    metrics.gauge("runnable_oldest_ms", oldest_ms);
    let left_out = tracker.map_or(0, |tracker| size(tracker.omitted_steps));
    metrics.gauge("runnable_steps_left_out", left_out);
    let stalled = tracker.map_or(0, |tracker| size(tracker.stalled_jobs()));
    metrics.gauge("jobs_standing_still", stalled);
}
