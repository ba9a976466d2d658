//! Tracks how long runnable work has waited and which jobs are stalled.

use super::job_stall::JobStall;
use super::job_stall::StallEnd;
use bh_workload::job::JobId;
use bh_workload::job::StepId;
use bh_workload::plan::RunnableStep;
use bh_workload::plan::Survey;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time after which a stalled job is reported, in milliseconds. Normal starts and ends take less.
const REPORT_AFTER_MS: u64 = 2_000;
/// Maximum number of log lines per survey.
const MAX_LINES: usize = 4;

/// A stall that has not ended.
#[derive(Clone, Debug)]
struct OngoingStall {
    since_ms: u64,
    /// State of the step at the last survey.
    step: RunnableStep,
    /// Whether the stall has lasted long enough to be reported.
    is_long: bool,
    /// Whether the stall was reported.
    is_reported: bool,
}

/// State that is kept between the surveys of one leader.
#[derive(Clone, Debug, Default)]
pub struct RunnableTracker {
    /// Since when each step has been runnable, on the leader's clock in milliseconds, and its number of results at that time.
    steps: BTreeMap<StepId, (u64, u64)>,
    stalls: BTreeMap<JobId, OngoingStall>,
    /// Number of runnable tasks by reason, as of the last survey.
    pub tasks: BTreeMap<&'static str, u64>,
    /// How long the longest-waiting step has been runnable, in milliseconds.
    pub oldest_ms: u64,
    /// Number of steps for which no reason was determined.
    pub omitted_steps: usize,
}

/// What changed with a survey.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SurveyChanges {
    /// Stalls to log, started or ended.
    pub lines: Vec<JobStall>,
    /// Number of stalls that became long enough to be reported, including those without a log line.
    pub started: usize,
    /// Durations of the reportable stalls that ended, in milliseconds.
    pub ended_durations_ms: Vec<u64>,
    /// Number of log lines dropped because of the limit per survey.
    pub omitted_lines: usize,
}

impl RunnableTracker {
    /// Creates a tracker without any survey.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of jobs that have been stalled long enough to be reported.
    pub fn stalled_jobs(&self) -> usize {
        let stalls = self.stalls.values();
        stalls.filter(|stall| stall.is_long).count()
    }

    /// Updates the state with a survey made at `now_ms`; `is_over` tells whether a job has ended.
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
            if step.stall_check.is_stalled() {
                stalled.entry(step.step.job).or_insert(step);
            }
        }
        let mut changes = SurveyChanges::default();
        let mut ended = Vec::new();
        // Jobs are surveyed in order of their ids. If the survey left some out, nothing is known of the jobs from the last surveyed one on.
        let last = survey.steps.last().map(|step| step.step.job);
        let unknown_from = last.filter(|_| survey.left_out > 0);
        self.stalls.retain(|job, stall| {
            let seen = seen.get(job);
            let has_run = seen.is_some_and(|step| {
                step.stall_check.runs > 0 || step.results != stall.step.results
            });
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

    /// Drops log lines beyond the limit, those of the shortest stalls first.
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
