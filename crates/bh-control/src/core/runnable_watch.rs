//! How long work has waited whose turn has come, and which jobs stand still.

use super::standstill::Standstill;
use super::standstill::StandstillEnd;
use bh_workload::job::JobId;
use bh_workload::job::StepId;
use bh_workload::plan::RunnableStep;
use bh_workload::plan::Survey;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Time after which a job that stands still is told of, in milliseconds: starts and ends that take their usual way are over sooner.
const TOLD_AFTER_MS: u64 = 2_000;
/// Lines that follow from one survey, at most.
const MOST_LINES: usize = 4;

/// A job that stands still.
#[derive(Clone, Debug)]
struct Stretch {
    since_ms: u64,
    /// What it was when this was last looked at.
    step: RunnableStep,
    /// Whether it has lasted for long enough to be told.
    is_long: bool,
    /// Whether it was told.
    is_told: bool,
}

/// What the surveys of one leader have shown.
#[derive(Clone, Debug, Default)]
pub struct RunnableWatch {
    /// Since when each step has been runnable, on the leader's clock in milliseconds, and the results of its job then.
    steps: BTreeMap<StepId, (u64, u64)>,
    stretches: BTreeMap<JobId, Stretch>,
    /// Runnable tasks by reason, when last surveyed.
    pub tasks: BTreeMap<&'static str, u64>,
    /// How long the step that has been runnable for longest has been so, in milliseconds.
    pub oldest_ms: u64,
    /// Steps of which the reason was not looked up.
    pub left_out: usize,
}

/// What a survey leads to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchNews {
    /// Stretches to tell of, begun or over.
    pub lines: Vec<Standstill>,
    /// Stretches that became long enough to be told, whether in a line or not.
    pub begun: usize,
    /// How long those lasted that were long enough and are over, in milliseconds.
    pub over_ms: Vec<u64>,
    /// Lines beyond those that one survey may lead to.
    pub left_out: usize,
}

impl RunnableWatch {
    /// Nothing was surveyed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Jobs that have stood still for long enough to be told.
    pub fn standing_still(&self) -> usize {
        let stretches = self.stretches.values();
        stretches.filter(|stretch| stretch.is_long).count()
    }

    /// Takes a survey made at `now_ms`; `is_over` tells whether a job has ended.
    pub fn note(
        &mut self,
        now_ms: u64,
        survey: &Survey,
        is_over: impl Fn(JobId) -> bool,
    ) -> WatchNews {
        self.note_waits(now_ms, survey);
        let mut still: BTreeMap<JobId, &RunnableStep> = BTreeMap::new();
        let mut seen: BTreeMap<JobId, &RunnableStep> = BTreeMap::new();
        for step in &survey.steps {
            seen.entry(step.step.job).or_insert(step);
            if step.stall_check.is_stalled() {
                still.entry(step.step.job).or_insert(step);
            }
        }
        let mut news = WatchNews::default();
        let mut ended = Vec::new();
        // Jobs are surveyed in order of their names: of those from the last one on, nothing is known if some were left out.
        let last = survey.steps.last().map(|step| step.step.job);
        let unknown_from = last.filter(|_| survey.left_out > 0);
        self.stretches.retain(|job, stretch| {
            let seen = seen.get(job);
            let has_run = seen.is_some_and(|step| {
                step.stall_check.runs > 0 || step.results != stretch.step.results
            });
            let end = if has_run {
                StandstillEnd::Runs
            } else if still.contains_key(job) {
                return true;
            } else if seen.is_some() {
                StandstillEnd::LessRoom
            } else if is_over(*job) {
                StandstillEnd::JobOver
            } else if unknown_from.is_some_and(|first| *job >= first) {
                return true;
            } else {
                StandstillEnd::Runs
            };
            ended.push((*job, stretch.clone(), end));
            false
        });
        for (job, stretch, end) in ended {
            let stood_ms = now_ms.saturating_sub(stretch.since_ms);
            if stretch.is_long {
                news.over_ms.push(stood_ms);
            }
            if stretch.is_told {
                news.lines.push(Standstill {
                    job,
                    stood_ms,
                    step: stretch.step,
                    end: Some(end),
                });
            }
        }
        for (job, step) in still {
            let stretch = self.stretches.entry(job).or_insert_with(|| Stretch {
                since_ms: now_ms,
                step: step.clone(),
                is_long: false,
                is_told: false,
            });
            stretch.step = step.clone();
            let stood_ms = now_ms.saturating_sub(stretch.since_ms);
            if stood_ms >= TOLD_AFTER_MS && !stretch.is_long {
                stretch.is_long = true;
                news.begun += 1;
                news.lines.push(Standstill {
                    job,
                    stood_ms,
                    step: step.clone(),
                    end: None,
                });
            }
        }
        self.bound(&mut news);
        news
    }

    /// Leaves out lines beyond the bound, those of the shortest stretches first.
    fn bound(&mut self, news: &mut WatchNews) {
        news.lines.sort_by_key(|line| Reverse(line.stood_ms));
        news.left_out = news.lines.len().saturating_sub(MOST_LINES);
        news.lines.truncate(MOST_LINES);
        for line in news.lines.iter().filter(|line| line.end.is_none()) {
            if let Some(stretch) = self.stretches.get_mut(&line.job) {
                stretch.is_told = true;
            }
        }
    }

    fn note_waits(&mut self, now_ms: u64, survey: &Survey) {
        let before = std::mem::take(&mut self.steps);
        self.tasks.clear();
        self.oldest_ms = 0;
        self.left_out = survey.left_out;
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
