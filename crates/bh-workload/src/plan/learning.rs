//! Learns from the ends of runs: how long tasks take, how fast workers are, and where a task has failed.

use super::Planner;
use crate::dispatch::Dispatcher;
use crate::dispatch::StartPhase;
use crate::state::End;
use crate::state::EndKind;
use crate::state::Workload;

impl Planner {
    /// Learns from ends of runs that are about to be recorded.
    pub fn note_ends(
        &mut self,
        now_ms: u64,
        ends: &[End],
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) {
        for end in ends {
            match end.kind {
                EndKind::Failed => {
                    self.failed_on
                        .entry(end.run.task)
                        .or_default()
                        .insert(end.worker.clone());
                }
                EndKind::Done => {
                    self.failed_on.remove(&end.run.task);
                    self.restarted_slow.remove(&end.run.task);
                    self.learn_from_done(now_ms, end, workload, dispatcher);
                }
                _ => {}
            }
        }
    }

    fn learn_from_done(
        &mut self,
        now_ms: u64,
        end: &End,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) {
        let step = end.run.task.step;
        let Some(job) = workload.job(step.job) else {
            return;
        };
        let Some(spec) = job.step_spec(step) else {
            return;
        };
        let Some(worker) = workload.worker(&end.worker) else {
            return;
        };
        let run_state = dispatcher
            .view(&end.worker)
            .and_then(|target| target.runs.get(&end.run));
        // The start time of a run is unknown if a previous leader ordered it or if its start order had no answer.
        let Some(run_state) = run_state.filter(|run_state| !run_state.was_unconfirmed) else {
            return;
        };
        let StartPhase::Confirmed { at_ms } = run_state.start else {
            return;
        };
        let resumed = usize::try_from(end.run.task.index)
            .ok()
            .and_then(|index| job.step(step)?.tasks.get(index))
            .is_some_and(|task| task.checkpoint.is_some());
        let away = spec
            .near_rack
            .as_ref()
            .is_some_and(|near| *near != worker.info.rack);
        let cold = dispatcher
            .view(&end.worker)
            .is_some_and(|target| at_ms < target.cold_until_ms);
        // Runs that resumed from a checkpoint, ran far from their data or started on a cold worker say little about the usual run time.
        if resumed || away || cold {
            return;
        }
        let took_ms = now_ms.saturating_sub(at_ms);
        if self.policy.ranks_workers {
            self.learn_ranked((now_ms, took_ms), end.run, (job, spec), (workload, worker));
            return;
        }
        let expected_ms = self.runtimes.expected_ms(&job.queue.name, step, spec);
        let single_worker = (!spec.gang).then_some(&end.worker);
        self.speeds.record(
            &worker.info.data_centre,
            single_worker,
            now_ms,
            (took_ms, expected_ms),
        );
        self.runtimes.record(&job.queue.name, step, spec, took_ms);
    }
}
