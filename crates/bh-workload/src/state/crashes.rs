//! Counts worker crashes per task, and gives up jobs with tasks that crash their workers.

use super::Crash;
use super::End;
use super::Evidence;
use super::GiveUp;
use super::Job;
use super::Suspect;
use super::Task;
use super::TaskState;
use super::Workload;
use crate::job::RunId;
use crate::job::TaskId;

/// Crashes under one task after which it is given up, no matter what ran beside it. Users accept three. A lower number would also give
/// up tasks that ran beside tasks that crash their workers.
const MAX_CRASHES: u32 = 3;
/// Crashes just after the start of a task after which its job is given up, if the task was alone on the last worker. Nothing else can have
/// crashed that worker, and a second worker hardly crashes by chance just as the same task starts.
const MAX_CRASHES_AT_START: u32 = 2;
/// All certain and possible crashes under a task after which its job is given up, if the task was alone on the last worker.
const MAX_ALL_CRASHES_ALONE: u32 = 3;
/// All certain and possible crashes under a task after which its job is given up in any case. A task that crashes its workers before they
/// answer has only possible crashes, so these need a limit. The limit leaves a sound task more margin for start orders that failed than a
/// single start after the third crash would need.
const MAX_ALL_CRASHES: u32 = 4;

impl Task {
    /// Number of workers that crashed under it or may have.
    pub fn all_crashes(&self) -> u32 {
        self.crashes + self.possible_crashes
    }

    fn count_crash(&mut self, evidence: Evidence) {
        match evidence {
            Evidence::Possible => self.possible_crashes += 1,
            Evidence::Present => self.crashes += 1,
            Evidence::JustBegun | Evidence::Alone => {
                self.crashes += 1;
                self.crashes_at_start += 1;
            }
        }
    }

    /// Takes a crash back, once.
    fn exonerate(&mut self) {
        if !self.exonerated {
            self.exonerated = true;
            self.crashes = self.crashes.saturating_sub(1);
        }
    }

    /// Whether it is given up after a worker crashed under it with the given evidence. After three crashes a newer run is not awaited:
    /// it would crash the next worker. Two crashes are no proof while a newer run is in progress, which may show that the task is sound.
    fn must_be_given_up(&self, evidence: Evidence) -> bool {
        let too_often = self.crashes >= MAX_CRASHES || self.all_crashes() >= MAX_ALL_CRASHES;
        let is_proven = evidence == Evidence::Alone
            && (self.crashes_at_start >= MAX_CRASHES_AT_START
                || self.all_crashes() >= MAX_ALL_CRASHES_ALONE);
        match self.state {
            TaskState::Done => false,
            TaskState::Open(_) => too_often,
            TaskState::Waiting => too_often || is_proven,
        }
    }
}

impl Workload {
    /// Ends runs. A crashed worker is removed from the record, and the crash is counted at the task of each suspect; one crash is taken back
    /// at the task of each of the `exonerated` runs. The count is part of the record, so it survives the leader, a loss of all cores and a snapshot. A second leader that records the same crash does not find
    /// the worker, so no crash is counted twice.
    ///
    /// Without the count, a task that crashes every worker that starts it would take down one worker after the other with all their runs,
    /// and its caller would wait forever.
    pub(super) fn end_runs(
        &mut self,
        ends: Vec<End>,
        not_displaced: &[RunId],
        crash: Option<Crash>,
        exonerated: &[RunId],
    ) {
        for end in ends {
            self.count_displacement(&end, !not_displaced.contains(&end.run));
            self.end_run(end);
        }
        let Some(Crash { worker, suspects }) = crash else {
            return;
        };
        if !self.workers.contains_key(&worker) {
            return;
        }
        self.remove_worker(&worker);
        for suspect in &suspects {
            if let Some(task) = self.task_mut(suspect.run.task) {
                task.count_crash(suspect.evidence);
            }
        }
        for run in exonerated {
            if let Some(task) = self.task_mut(run.task) {
                task.exonerate();
            }
        }
        for Suspect { run, evidence } in suspects {
            let task = self.task(run.task);
            if task.is_some_and(|task| task.must_be_given_up(evidence)) {
                self.give_up_crashing(run);
            }
        }
    }

    /// Gives up the task of `run`. The other tasks of a service go on without it, since each of them serves by itself. Any other job can't be
    /// done without the task, and a gang can't run.
    fn give_up_crashing(&mut self, run: RunId) {
        let step = run.task.step;
        let spec = self.step_spec(step);
        if spec.is_some_and(|spec| spec.long_running && !spec.gang) {
            if let Some(task) = self.task_mut(run.task) {
                task.given_up = Some(run);
            }
            let newer_runs = self.open_runs.of_task(run.task);
            for (_, worker) in newer_runs {
                self.events.mark_worker(worker);
            }
            if self.jobs.get(&step.job).is_some_and(Job::has_service_tasks) {
                return;
            }
        }
        self.give_up(step.job, GiveUp::Crashes { run });
    }

    /// Clears the tasks of runs: the crashes counted before were hardly their doing.
    pub(super) fn clear_crashes(&mut self, runs: &[RunId]) {
        for run in runs {
            if let Some(task) = self.task_mut(run.task) {
                task.crashes = 0;
                task.crashes_at_start = 0;
                task.possible_crashes = 0;
                task.exonerated = false;
            }
        }
    }

    /// A task.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        let step = self.jobs.get(&id.step.job)?.step(id.step)?;
        step.tasks.get(usize::try_from(id.index).ok()?)
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.jobs.get_mut(&id.step.job)?.step_mut(id.step)?;
        step.tasks.get_mut(usize::try_from(id.index).ok()?)
    }
}
