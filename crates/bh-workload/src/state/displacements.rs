//! Counts how often runs of a task were stopped although their job went on.

use super::End;
use super::EndKind;
use super::Step;
use super::TaskState;
use super::Workload;
use crate::job::RunId;

impl Workload {
    /// Counts the end of an open run as a displacement if the run was stopped to make room for other work. Must be called before the end is
    /// applied. An end that is recorded twice is counted once, because the run is no longer open the second time.
    ///
    /// `makes_room` is false if the leader that ordered the stop had another reason. A leader does not know the reasons of an earlier one,
    /// so a stop ordered by an earlier leader counts. Otherwise a change of leader between the order and the end would void the limit on
    /// displacements.
    pub(super) fn count_displacement(&mut self, end: &End, makes_room: bool) {
        let RunId { task, attempt } = end.run;
        let worker = self.workers.get(&end.worker);
        if !worker.is_some_and(|worker| worker.runs.contains_key(&end.run)) {
            return;
        }
        let job = self.jobs.get_mut(&task.step.job);
        let Some(job) = job.filter(|job| job.outcome.is_none()) else {
            return;
        };
        let gang = job.step_spec(task.step).is_some_and(|spec| spec.gang);
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let displaces = makes_room && end.kind == EndKind::Stopped;
        if gang {
            step.count_gang_displacement(attempt, end.kind, displaces);
            return;
        }
        let task = usize::try_from(task.index)
            .ok()
            .and_then(|index| step.tasks.get_mut(index));
        if let Some(task) = task.filter(|task| displaces && task.state == TaskState::Open(attempt))
        {
            task.displacements += 1;
        }
    }
}

impl Step {
    /// Counts a displacement of every member if the first known cause of the end of a gang's attempt is that a member `displaces`.
    ///
    /// Members that end because another one did are no cause, and their ends may be recorded before the end of that one. Members that never
    /// started are none either: when a gang is stopped while it starts, these ends are recorded first.
    fn count_gang_displacement(&mut self, attempt: u32, kind: EndKind, displaces: bool) {
        let is_cause = !matches!(kind, EndKind::Broken | EndKind::NotStarted);
        if !is_cause || self.ended_attempt == attempt || self.is_done() {
            return;
        }
        self.ended_attempt = attempt;
        if displaces {
            for task in &mut self.tasks {
                task.displacements += 1;
            }
        }
    }
}
