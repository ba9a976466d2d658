//! How long work has waited whose turn has come, and which jobs stand still.

use super::job_stall::JobStall;
use super::job_stall::StallEnd;
use bh_workload::job::JobId;
use bh_workload::job::StepId;
use bh_workload::plan::RunnableStep;
use bh_workload::plan::Survey;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time after which a job that stands still is told of, in milliseconds: starts and ends that take their usual way are over sooner.
const REPORT_AFTER_MS: u64 = 2_000;
/// Lines that follow from one survey, at most.
const MAX_LINES: usize = 4;

/// A job that stands still.
#[derive(Clone, Debug)]
struct OngoingStall {
    since_ms: u64,
    /// What it was when this was last looked at.
    step: RunnableStep,
    /// Whether it has lasted for long enough to be told.
    is_long: bool,
    /// Whether it was told.
    is_reported: bool,
}

/// What the surveys of one leader have shown.
#[derive(Clone, Debug, Default)]
pub struct RunnableTracker {
    /// Since when each step has been runnable, on the leader's clock in milliseconds, and the results of its job then.
    steps: BTreeMap<StepId, (u64, u64)>,
    stalls: BTreeMap<JobId, OngoingStall>,
    /// Runnable tasks by reason, when last surveyed.
    pub tasks: BTreeMap<&'static str, u64>,
    /// How long the step that has been runnable for longest has been so, in milliseconds.
    pub oldest_ms: u64,
    /// Steps of which the reason was not looked up.
    pub omitted_steps: usize,
}

/// What a survey leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SurveyChanges {
    /// Stretches to tell of, begun or over.
    pub lines: Vec<JobStall>,
    /// Stretches that became long enough to be told, whether in a line or not.
    pub started: usize,
    /// How long those lasted that were long enough and are over, in milliseconds.
    pub ended_durations_ms: Vec<u64>,
    /// Lines beyond those that one survey may lead to.
    pub omitted_lines: usize,
}

impl RunnableTracker {
    /// Nothing was surveyed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Jobs that have stood still for long enough to be told.
    pub fn stalled_jobs(&self) -> usize {
        let stalls = self.stalls.values();
        stalls.filter(|stall| stall.is_long).count()
    }

    /// Takes a survey made at `now_ms`; `is_over` tells whether a job has ended.
    pub fn update(
        &mut self,
        now_ms: u64,
        survey: &Survey,
        is_over: impl Fn(JobId) -> bool,
    ) -> SurveyChanges {
        self.update_waits(now_ms, survey);
        let mut stalled: BTreeMap<JobId, &RunnableStep> = BTreeMap::new();
        let mut seen: BTreeMap<JobId, &RunnableStep> = BTreeMap::new();
        for step in &survey.steps {
            seen.entry(step.step.job).or_insert(step);
            if step.standing.is_still() {
                stalled.entry(step.step.job).or_insert(step);
            }
        }
        let mut changes = SurveyChanges::default();
        let mut ended = Vec::new();
        // Jobs are surveyed in order of their names: of those from the last one on, nothing is known if some were left out.
        let last = survey.steps.last().map(|step| step.step.job);
        let unknown_from = last.filter(|_| survey.left_out > 0);
        self.stalls.retain(|job, stall| {
            let seen = seen.get(job);
            let has_run = seen
                .is_some_and(|step| step.standing.runs > 0 || step.results != stall.step.results);
            let end = if has_run {
                StallEnd::Runs
            } else if stalled.contains_key(job) {
                return true;
            } else if seen.is_some() {
                StallEnd::LessRoom
            } else if is_over(*job) {
                StallEnd::JobOver
            } else if unknown_from.is_some_and(|first| *job >= first) {
                return true;
            } else {
                StallEnd::Runs
            };
            ended.push((*job, stall.clone(), end));
            false
        });
        for (job, stall, end) in ended {
            let stalled_ms = now_ms.saturating_sub(stall.since_ms);
            if stall.is_long {
                changes.ended_durations_ms.push(stalled_ms);
            }
            if stall.is_reported {
                changes.lines.push(JobStall {
                    job,
                    stalled_ms,
                    step: stall.step,
                    end: Some(end),
                });
            }
        }
        for (job, step) in stalled {
            let stall = self.stalls.entry(job).or_insert_with(|| OngoingStall {
                since_ms: now_ms,
                step: step.clone(),
                is_long: false,
                is_reported: false,
            });
            stall.step = step.clone();
            let stalled_ms = now_ms.saturating_sub(stall.since_ms);
            if stalled_ms >= REPORT_AFTER_MS && !stall.is_long {
                stall.is_long = true;
                changes.started += 1;
                changes.lines.push(JobStall {
                    job,
                    stalled_ms,
                    step: step.clone(),
                    end: None,
                });
            }
        }
        self.limit_lines(&mut changes);
        changes
    }

    /// Leaves out lines beyond the bound, those of the shortest stalls first.
    fn limit_lines(&mut self, changes: &mut SurveyChanges) {
        changes.lines.sort_by_key(|line| Reverse(line.stalled_ms));
        changes.omitted_lines = changes.lines.len().saturating_sub(MAX_LINES);
        changes.lines.truncate(MAX_LINES);
        for line in changes.lines.iter().filter(|line| line.end.is_none()) {
            if let Some(stall) = self.stalls.get_mut(&line.job) {
                stall.is_reported = true;
            }
        }
    }

    fn update_waits(&mut self, now_ms: u64, survey: &Survey) {
        let before = std::mem::take(&mut self.steps);
        self.tasks.clear();
        self.oldest_ms = 0;
        self.omitted_steps = survey.left_out;
        for step in &survey.steps {
            *self.tasks.entry(step.wait.reason()).or_default() += step.tasks;
            let known = before.get(&step.step);
            let since_ms = known
                .filter(|(_, results)| *results == step.results)
                .map_or(now_ms, |(since_ms, _)| *since_ms);
            self.steps.insert(step.step, (since_ms, step.results));
            self.oldest_ms = self.oldest_ms.max(now_ms.saturating_sub(since_ms));
        }
    }
}
