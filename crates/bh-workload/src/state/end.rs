//! What the end of a run means for its task, its gang and its job.

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
    /// Notes that a run is over.
    pub(super) fn end(&mut self, end: End, now_ms: u64) {
        let was_open = self.workers.get_mut(&end.worker).is_some_and(|worker| {
            worker.unheard.remove(&end.run);
            worker.runs.remove(&end.run).is_some()
        });
        self.news.note_worker(&end.worker);
        let id = end.run.task.step.job;
        let max_attempts = self.jobs.get(&id).map(|job| self.max_attempts(job));
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
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
            end_in_gang(step, &end, was_open)
        } else {
            end_of_task(step, &end, was_open, spec.long_running)
        }
        .is_some_and(|failures| max_attempts.is_some_and(|most| failures >= most));
        step.count_done();
        if step.open_runs == 0 {
            step.broken.clear();
        }
        // The rules may allow fewer failures than when the run began.
        let used_up = max_attempts.is_some_and(|most| step.has_used_up(most, spec.gang));
        let others_open = spec.gang && step.open_runs > 0;
        if (failed_too_often || used_up) && !spec.long_running {
            let step = end.run.task.step;
            self.give_up(id, GiveUp::Failures { step }, now_ms);
        } else if job.outcome.is_none() && job.is_done() {
            self.close(id, Outcome::Completed, now_ms);
        } else if others_open {
            self.note_holders(end.run.task.step);
        }
    }

    /// Counts the failure of a gang member that was recorded as lost, once for each attempt of the gang.
    pub(super) fn count_late_failure(&mut self, run: RunId, now_ms: u64) {
        let id = run.task.step.job;
        let Some(most) = self.jobs.get(&id).map(|job| self.max_attempts(job)) else {
            return;
        };
        let step = self
            .jobs
            .get_mut(&id)
            .and_then(|job| job.step_mut(run.task.step));
        let Some(step) = step.filter(|step| !step.is_done()) else {
            return;
        };
        let known = [step.failed_attempt, step.late_failed_attempt];
        if known.contains(&run.attempt) {
            return;
        }
        step.late_failed_attempt = run.attempt;
        step.failures += 1;
        if step.failures >= most {
            let step = run.task.step;
            self.give_up(id, GiveUp::Failures { step }, now_ms);
        }
    }

    /// Ends a job as failed, unless it has ended.
    pub(super) fn give_up(&mut self, id: JobId, why: GiveUp, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.outcome.is_none()
        {
            job.given_up = Some(why);
        }
        self.close(id, Outcome::Failed, now_ms);
    }

    /// The rest of a gang whose member ended must be looked after on the workers that hold it.
    fn note_holders(&mut self, step: StepId) {
        let holders = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.runs.keys().any(|run| run.task.step == step));
        for (worker, _) in holders {
            self.news.note_worker(worker);
        }
    }
}

/// Notes the end of a task's run; returns the failures so far when it failed.
///
/// An end with success counts whichever run it is of: the work is done, and another run of it would do it twice.
fn end_of_task(
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

/// Notes the end of a gang member's run; returns the failures of the gang when this end added one. A success of one member is
/// the success of all; a failure counts once for each attempt of the gang.
fn end_in_gang(step: &mut super::Step, end: &End, was_open: bool) -> Option<u32> {
    if end.kind == EndKind::Done {
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
