//! Decides which starts are recorded.

use super::Reply;
use super::Start;
use super::TaskState;
use super::Workload;
use crate::job::Resources;
use crate::job::StepId;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;

impl Workload {
    /// Records starts; of a gang, all or none. The conditions of the planner are checked again, because the record may have changed since:
    /// the order of commands decides, not what the leader saw when it planned.
    pub(super) fn start(&mut self, starts: Vec<Start>) -> Reply {
        let mut by_step: BTreeMap<StepId, Vec<Start>> = BTreeMap::new();
        for start in starts {
            by_step.entry(start.run.task.step).or_default().push(start);
        }
        let mut refused = Vec::new();
        for (step, starts) in by_step {
            let gang = self.step_spec(step).is_some_and(|spec| spec.gang);
            if gang {
                if self.gang_may_start(step, &starts) {
                    self.record_starts(starts);
                } else {
                    refused.push(step);
                }
                continue;
            }
            for start in starts {
                if self.may_start(&start) {
                    self.record_starts(vec![start]);
                } else {
                    refused.push(step);
                }
            }
        }
        Reply::Started(refused)
    }

    fn step_may_start(&self, step: StepId) -> bool {
        self.jobs
            .get(&step.job)
            .is_some_and(|job| job.outcome.is_none() && job.is_unblocked(step))
    }

    fn may_start(&self, start: &Start) -> bool {
        let step = start.run.task.step;
        if !self.step_may_start(step) {
            return false;
        }
        let task = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step))
            .and_then(|progress| {
                progress
                    .tasks
                    .get(usize::try_from(start.run.task.index).ok()?)
            });
        let is_waiting =
            task.is_some_and(|task| task.is_waiting() && start.run.attempt > task.attempt);
        is_waiting && self.has_room(step, &start.worker, 1)
    }

    fn gang_may_start(&self, step: StepId, starts: &[Start]) -> bool {
        if !self.step_may_start(step) {
            return false;
        }
        let Some(progress) = self.jobs.get(&step.job).and_then(|job| job.step(step)) else {
            return false;
        };
        let attempt = progress.next_gang_attempt();
        let members: std::collections::BTreeSet<u32> =
            starts.iter().map(|start| start.run.task.index).collect();
        let is_complete = members.len() == progress.tasks.len()
            && starts.len() == progress.tasks.len()
            && starts.iter().all(|start| start.run.attempt == attempt);
        if !is_complete || !progress.is_gang_waiting() {
            return false;
        }
        let mut by_worker: BTreeMap<&Incarnation, u64> = BTreeMap::new();
        for start in starts {
            *by_worker.entry(&start.worker).or_default() += 1;
        }
        by_worker
            .into_iter()
            .all(|(worker, count)| self.has_room(step, worker, count))
    }

    fn has_room(&self, step: StepId, worker: &Incarnation, count: u64) -> bool {
        if self.is_in_upkeep(worker) {
            return false;
        }
        let Some(worker) = self.workers.get(worker).filter(|worker| !worker.draining) else {
            return false;
        };
        if self.is_evacuated(&worker.info) {
            return false;
        }
        let Some(spec) = self.step_spec(step) else {
            return false;
        };
        let limit = spec.most_on_worker().saturating_sub(worker.runs_of(step));
        count <= limit && spec.reserved().count_in(&worker.free(), count) >= count
    }

    fn reserved(&self, step: StepId) -> Resources {
        self.step_spec(step)
            .map(crate::job::StepSpec::reserved)
            .unwrap_or_default()
    }

    fn record_starts(&mut self, starts: Vec<Start>) {
        for Start { run, worker } in starts {
            let needs = self.reserved(run.task.step);
            if let Some(target_worker) = self.workers.get_mut(&worker) {
                target_worker.runs.insert(run, needs);
                self.open_runs.insert(run, &worker);
            }
            self.events.mark_worker(&worker);
            let Some(job) = self.jobs.get_mut(&run.task.step.job) else {
                continue;
            };
            self.usage
                .start(job.customer.as_ref(), &needs, self.latest_ms);
            job.started = true;
            let Some(step) = job.step_mut(run.task.step) else {
                continue;
            };
            step.open_runs += 1;
            let task = usize::try_from(run.task.index)
                .ok()
                .and_then(|index| step.tasks.get_mut(index));
            if let Some(task) = task {
                task.state = TaskState::Open(run.attempt);
                task.attempt = run.attempt;
            }
        }
    }
}
