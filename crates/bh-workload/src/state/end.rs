//! Applies the end of a run to its task, its gang and its job.

use super::End;
use super::EndKind;
use super::GiveUp;
use super::Outcome;
use super::TaskState;
use super::Workload;
use crate::job::JobId;
use crate::job::RunId;
use crate::job::StepId;

impl Workload {
    /// Ends a run.
    pub(super) fn end_run(&mut self, end: End) {
        let taken = self.workers.get_mut(&end.worker).and_then(|worker| {
            worker.unheard.remove(&end.run);
            worker.runs.remove(&end.run)
        });
        let was_open = taken.is_some();
        if was_open {
            self.open_runs.remove(end.run);
        }
        self.events.mark_worker(&end.worker);
        let id = end.run.task.step.job;
        let failure_limit = self.failure_limit_of(end.run.task.step);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(taken) = taken {
            self.usage
                .end(job.customer.as_ref(), &taken, self.latest_ms);
        }
        let Some(spec) = job.step_spec(end.run.task.step).cloned() else {
            return;
        };
        let Some(step) = job.step_mut(end.run.task.step) else {
            return;
        };
        if was_open {
            step.open_runs = step.open_runs.saturating_sub(1);
        }
        if was_open
            && spec.gang
            && end.kind == EndKind::Lost
            && let Some(worker) = self.workers.get_mut(&end.worker)
        {
            worker.unheard.insert(end.run);
        }
        let failed_too_often = if spec.gang {
            end_gang_member(step, &end, was_open, spec.long_running)
        } else {
            end_task_run(step, &end, was_open, spec.long_running)
        }
        .is_some_and(|failures| failure_limit.is_some_and(|limit| failures >= limit));
        step.update_done();
        if step.open_runs == 0 {
            step.broken.clear();
        }
        // The rules may allow fewer failures now than when the run started.
        let is_exhausted =
            failure_limit.is_some_and(|limit| step.has_exhausted_attempts(limit, spec.gang));
        let has_other_open_runs = spec.gang && step.open_runs > 0;
        if was_open || end.kind == EndKind::Done {
            job.note_run_ended(end.kind);
        }
        if failed_too_often || is_exhausted {
            let step = end.run.task.step;
            self.give_up(id, GiveUp::Failures { step });
        } else if job.outcome.is_none() && job.is_done() {
            self.end_job(id, Outcome::Completed);
        } else if has_other_open_runs {
            self.mark_holders(end.run.task.step);
        } else if end.kind == EndKind::Done {
            // A later run of the task may still be open. It is to be stopped.
            for (_, worker) in self.open_runs.of_task(end.run.task) {
                self.events.mark_worker(worker);
            }
        }
    }

    /// The limit of [`Workload::failure_limit`] for a step of a known job.
    fn failure_limit_of(&self, step: StepId) -> Option<u32> {
        let job = self.jobs.get(&step.job)?;
        self.failure_limit(job, job.step_spec(step)?)
    }

    /// Counts the failure of a gang member that was recorded as lost. A gang attempt counts at most once.
    pub(super) fn count_late_failure(&mut self, run: RunId) {
        let id = run.task.step.job;
        let limit = self.failure_limit_of(run.task.step);
        let step = self
            .jobs
            .get_mut(&id)
            .and_then(|job| job.step_mut(run.task.step));
        let Some(step) = step.filter(|step| !step.is_done()) else {
            return;
        };
        let counted_attempts = [step.failed_attempt, step.late_failed_attempt];
        if counted_attempts.contains(&run.attempt) {
            return;
        }
        step.late_failed_attempt = run.attempt;
        step.failures += 1;
        if limit.is_some_and(|limit| step.failures >= limit) {
            let step = run.task.step;
            self.give_up(id, GiveUp::Failures { step });
        }
    }

    /// Ends a job as failed, unless it has ended before.
    pub(super) fn give_up(&mut self, id: JobId, reason: GiveUp) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.outcome.is_none()
        {
            job.given_up = Some(reason);
        }
        self.end_job(id, Outcome::Failed);
    }

    /// Marks the workers that hold runs of a step as changed.
    fn mark_holders(&mut self, step: StepId) {
        for (_, worker) in self.open_runs.of_step(step) {
            self.events.mark_worker(worker);
        }
    }
}

/// Applies the end of a run of a single task. Returns the number of failed runs of the task if this run failed.
///
/// A success counts no matter which run of the task it belongs to: the work is done, and another run would repeat it.
fn end_task_run(
    step: &mut super::Step,
    end: &End,
    was_open: bool,
    long_running: bool,
) -> Option<u32> {
    let index = usize::try_from(end.run.task.index).ok()?;
    let task = step.tasks.get_mut(index)?;
    if end.kind == EndKind::Done && !long_running {
        task.state = TaskState::Done;
        return None;
    }
    if !was_open || task.state != TaskState::Open(end.run.attempt) {
        return None;
    }
    task.state = TaskState::Waiting;
    if end.checkpoint.is_some() {
        task.checkpoint = end.checkpoint.clone();
    }
    if end.kind == EndKind::Failed {
        task.failures += 1;
        return Some(task.failures);
    }
    None
}

/// Applies the end of a run of a gang member. Returns the number of failed attempts of the gang if this end added one. The success of one
/// member is the success of all, unless the gang is a service; each attempt of the gang counts as failed at most once.
fn end_gang_member(
    step: &mut super::Step,
    end: &End,
    was_open: bool,
    long_running: bool,
) -> Option<u32> {
    if end.kind == EndKind::Done && !long_running {
        for task in &mut step.tasks {
            task.state = TaskState::Done;
        }
        return None;
    }
    if !was_open {
        return None;
    }
    let attempt = end.run.attempt;
    if end.checkpoint.is_some() {
        for task in &mut step.tasks {
            task.checkpoint = end.checkpoint.clone();
        }
    }
    let index = usize::try_from(end.run.task.index).ok()?;
    let task = step.tasks.get_mut(index)?;
    if task.state == TaskState::Open(attempt) {
        task.state = TaskState::Waiting;
    }
    if end.kind == EndKind::Broken && end.worker.started_ms.is_none() {
        step.broken.insert(end.run.task.index);
    }
    if end.kind != EndKind::Failed {
        return None;
    }
    if step.failed_attempt == attempt {
        return None;
    }
    step.failed_attempt = attempt;
    step.failures += 1;
    Some(step.failures)
}
