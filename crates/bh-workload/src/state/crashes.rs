//! Counts crashes at the tasks under which workers crashed, and gives up jobs whose tasks crash their workers.

use super::Crash;
use super::End;
use super::Evidence;
use super::GiveUp;
use super::Suspect;
use super::Task;
use super::TaskState;
use super::Workload;
use crate::job::TaskId;

/// Workers that crash under one task before it is given up, whatever ran beside it. The users bear three: with a lower number, neighbours of tasks
/// that crash their workers would be given up with them.
const MOST_CRASHES: u32 = 3;
/// The same for workers that crashed just as the task had begun, when it was alone on the last one: nothing else can have crashed that one,
/// and a second worker hardly crashes by chance just as the same task begins.
const MOST_CRASHES_AT_START: u32 = 2;
/// The same for all crashes that count or may, when the task was alone on the last one.
const MOST_BEFORE_ALONE: u32 = 3;
/// The same without that. One that crashes its workers before they answer shows no other crashes, so there must be a bound; it leaves a
/// sound task more room for orders that came to nothing than one start after the third crash would need.
const MOST_POSSIBLE_CRASHES: u32 = 4;

impl Task {
    /// Workers that crashed under it or may have.
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

    /// Whether it is given up once a worker has crashed under it with that evidence. With three crashes no newer run is waited for: it
    /// would be the next one to crash a worker. Two are no proof while a newer run goes on, which may show that the task is sound.
    fn is_given_up(&self, evidence: Evidence) -> bool {
        let often = self.crashes >= MOST_CRASHES || self.all_crashes() >= MOST_POSSIBLE_CRASHES;
        let proven = evidence == Evidence::Alone
            && (self.crashes_at_start >= MOST_CRASHES_AT_START
                || self.all_crashes() >= MOST_BEFORE_ALONE);
        match self.state {
            TaskState::Done => false,
            TaskState::Open(_) => often,
            TaskState::Waiting => often || proven,
        }
    }
}

impl Workload {
    /// Notes runs that are over. A crashed worker is taken out of the record, and the crash counts at the task of each suspect. The count
    /// is in the record, so that it outlives the leader, a loss of all cores and a snapshot; a second leader that records the same crash
    /// finds no such worker, so none counts twice.
    ///
    /// Without the count a task that crashes each worker that starts it takes one worker after the other down, with all that runs there, and its
    /// caller waits for ever.
    pub(super) fn end_all(&mut self, ends: Vec<End>, now_ms: u64, crash: Option<Crash>) {
        for end in ends {
            self.end(end, now_ms);
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
        for Suspect { run, evidence } in suspects {
            let task = self.task(run.task);
            if task.is_some_and(|task| task.is_given_up(evidence)) {
                self.give_up(run.task.step.job, GiveUp::Crashes { run }, now_ms);
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
