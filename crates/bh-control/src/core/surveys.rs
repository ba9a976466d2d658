//! The leader's surveys of work that waits: gauges, and lines about jobs that stand still.

use super::core_node::CoreNode;
use super::leadership::Leadership;
use super::standstill::Standstill;
use crate::observe::Metrics;
use bh_workload::plan::WaitReason;
use std::rc::Rc;

/// Time between surveys, in milliseconds: short against the seconds after which a wait is worth telling.
const SURVEY_MS: u64 = 500;
/// The same as a multiple of what the last one took: surveys take at most a fiftieth of the leader's processor.
const SURVEY_GAPS: u64 = 50;

/// Surveys the work that waits when that is due.
pub(super) fn survey(core: &Rc<CoreNode>, confirmed: bool) {
    let now_ms = core.clock.now_ms();
    let mut held = core.leadership.borrow_mut();
    let Some(leadership) = held.as_mut() else {
        return;
    };
    if now_ms < leadership.survey_from_ms {
        return;
    }
    let workload = core.group.machine.read();
    let wall_ms = core.wall_ms();
    let times = (now_ms, wall_ms);
    let survey = leadership
        .planner
        .survey(times, &workload, &leadership.dispatcher);
    let news = leadership.runnable.note(now_ms, &survey, |id| {
        workload.job(id).is_none_or(|job| job.outcome.is_some())
    });
    drop(workload);
    let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    core.metrics.count("standstills", size(news.begun));
    core.metrics
        .count("standstills_untold", size(news.left_out));
    for stood_ms in news.over_ms {
        core.metrics.time_ms("standstill", stood_ms);
    }
    for line in &news.lines {
        log_standstill(leadership, (now_ms, wall_ms), confirmed, line);
    }
    if news.left_out > 0 {
        log::warn!(
            term = leadership.term, left_out = news.left_out, jobs = leadership.runnable.standing_still();
            "more jobs stand still, or no longer do"
        );
    }
    let over_ms = core.clock.now_ms();
    let took_ms = over_ms.saturating_sub(now_ms);
    core.metrics.time_ms("survey", took_ms);
    leadership.survey_from_ms = over_ms + (took_ms * SURVEY_GAPS).max(SURVEY_MS);
}

/// One line when a job has stood still for long, and one when it no longer does.
fn log_standstill(
    leadership: &Leadership,
    (now_ms, wall_ms): (u64, u64),
    confirmed: bool,
    line: &Standstill,
) {
    let step = &line.step;
    let holder = step.held_by.as_ref();
    let run = holder.map_or("-", |holder| &*holder.run);
    let worker = holder.map_or("-".to_owned(), |holder| holder.worker.to_string());
    let held_ms = holder.map_or(0, |holder| holder.held_ms);
    let reason = step.wait.reason();
    if let Some(end) = line.end {
        log::info!(
            job = line.job.to_string(), step = step.step.to_string(), ended_by:? = end, stood_ms = line.stood_ms, reason, run, worker, term = leadership.term;
            "job no longer stands still"
        );
        return;
    }
    let accepted_ms_ago = wall_ms.saturating_sub(step.ready_ms);
    let starts_recording_ms = leadership.starts_record.age_ms(now_ms);
    let led_ms = now_ms.saturating_sub(leadership.dispatcher.elected_ms());
    log::warn!(
        job = line.job.to_string(), step = step.step.to_string(), tasks = step.tasks, reason, wait:? = step.wait, stood_ms = line.stood_ms, accepted_ms_ago, run, worker, held_ms,
        results = step.results, term = leadership.term, led_ms, plan_age_ms = leadership.plan_age_ms(now_ms), starts_recording_ms, confirmed;
        "job stands still though there is room"
    );
}

/// Sets the gauges of the last survey. On a core that does not lead they are 0.
pub(super) fn set_gauges(leadership: Option<&Leadership>, metrics: &Metrics) {
    let watch = leadership.map(|leadership| &leadership.runnable);
    for reason in WaitReason::REASONS {
        let tasks = watch.and_then(|watch| watch.tasks.get(reason));
        let label = ("reason", reason);
        metrics.gauge_with("runnable_tasks", label, tasks.copied().unwrap_or(0));
    }
    let size = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let oldest_ms = watch.map_or(0, |watch| watch.oldest_ms);
    metrics.gauge("runnable_oldest_ms", oldest_ms);
    let left_out = watch.map_or(0, |watch| size(watch.left_out));
    metrics.gauge("runnable_steps_left_out", left_out);
    let still = watch.map_or(0, |watch| size(watch.standing_still()));
    metrics.gauge("jobs_standing_still", still);
}
