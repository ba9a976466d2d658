//! Learns the speeds of workers from the ends and the progress of runs.

use super::Planner;
use crate::dispatch::Dispatcher;
use crate::dispatch::RunState;
use crate::dispatch::StartPhase;
use crate::dispatch::Target;
use crate::job::RunId;
use crate::job::StepSpec;
use crate::state::Job;
use crate::state::Worker;
use crate::state::Workload;

/// Progress after which the pace of a run is known, in percent. Progress is reported in whole percents, and the first ones include what a
/// run does only once.
const MIN_PACE_PERCENT: u64 = 20;

/// Progress of a run, as far as it was used to learn the speed of its worker.
#[derive(Clone, Copy, Debug)]
pub(super) enum ObservedProgress {
    /// The run was inherited from a previous leader, so that its start time is unknown: its first progress seen, in percent, and when that
    /// was reported, on the leader's clock in milliseconds.
    First(u64, u64),
    /// The pace of the run is counted.
    Counted,
}

impl Planner {
    /// Learns from a run that was done after `took_ms`, with workers ranked by their speeds. All times are relative to learnt run times,
    /// since declared ones are off by factors.
    pub(super) fn learn_ranked(
        &mut self,
        (now_ms, took_ms): (u64, u64),
        run: RunId,
        (job, spec): (&Job, &StepSpec),
        (workload, worker): (&Workload, &Worker),
    ) {
        let (queue, step) = (&job.queue.name, run.task.step);
        // A gang is as slow as its slowest member.
        let percent = if spec.gang {
            let members = workload.runs_of(step);
            let percents = members.map(|(_, worker)| self.percent_of(worker, now_ms));
            percents.max().unwrap_or(100)
        } else {
            self.percent_of(worker, now_ms)
        };
        if let Some(learnt_ms) = self.runtimes.learnt_ms(queue, step, spec) {
            let data_centre = &worker.info.data_centre;
            let times = (took_ms, learnt_ms);
            self.speeds.record(data_centre, None, now_ms, times);
            let is_counted = matches!(
                self.observed_progress.remove(&run),
                Some(ObservedProgress::Counted)
            );
            if is_comparable(spec) && !is_counted {
                self.speeds
                    .record_rank(data_centre, &worker.info.id, now_ms, times);
            }
        }
        let usual_ms = took_ms * 100 / percent.max(1);
        self.runtimes.record(queue, step, spec, usual_ms.max(1));
    }

    fn percent_of(&self, worker: &Worker, now_ms: u64) -> u64 {
        self.speeds
            .runtime_percent(&worker.info.id, &worker.info.data_centre, now_ms)
    }

    /// Learns from the progress of all runs, each of which counts once. A new leader thus knows the speeds before runs that it starts have
    /// ended.
    pub(super) fn learn_progress(
        &mut self,
        now_ms: u64,
        workload: &Workload,
        dispatcher: &Dispatcher,
    ) {
        let mut before = std::mem::take(&mut self.observed_progress);
        for worker in workload.workers() {
            let Some(target) = dispatcher.view(&worker.info.id) else {
                continue;
            };
            for (run, run_state) in &target.runs {
                if run_state.percent == 0 {
                    continue;
                }
                let observed = before.remove(run);
                let observed = match observed {
                    Some(ObservedProgress::Counted) => observed,
                    _ => self.observe(now_ms, (workload, worker, target), (*run, observed)),
                };
                if let Some(observed) = observed {
                    self.observed_progress.insert(*run, observed);
                }
            }
        }
        // Passes without waiting units do not update the speeds. Runs that end meanwhile are compared with up-to-date data centres too.
        self.speeds.update(now_ms);
    }

    /// Counts the pace of a run if it is known. Returns what is to be remembered of the run.
    fn observe(
        &mut self,
        now_ms: u64,
        (workload, worker, target): (&Workload, &Worker, &Target),
        (run, observed): (RunId, Option<ObservedProgress>),
    ) -> Option<ObservedProgress> {
        let run_state = target.runs.get(&run)?;
        let job = workload.job(run.task.step.job)?;
        let spec = job.step_spec(run.task.step)?;
        if !is_comparable(spec) || run_state.stop_requested || !job.should_run(run) {
            return None;
        }
        let has_resumed = workload.task(run.task)?.checkpoint.is_some();
        let near = spec.near_rack.as_ref();
        let is_away = near.is_some_and(|near| *near != worker.info.rack);
        let Some((start_percent, start_ms)) = pace_start(run_state, observed) else {
            return Some(ObservedProgress::First(
                run_state.percent,
                run_state.progress_ms,
            ));
        };
        // Runs that resumed from a checkpoint, run far from their data or began on a cold worker say little about the usual run time.
        if has_resumed || is_away || start_ms < target.cold_until_ms {
            return None;
        }
        let percent = run_state.percent.min(100).saturating_sub(start_percent);
        let learnt_ms = self
            .runtimes
            .learnt_ms(&job.queue.name, run.task.step, spec)
            .filter(|_| percent >= MIN_PACE_PERCENT);
        let Some(learnt_ms) = learnt_ms else {
            return observed;
        };
        let took_ms = run_state.progress_ms.saturating_sub(start_ms) * 100 / percent;
        self.speeds.record_rank(
            &worker.info.data_centre,
            &worker.info.id,
            now_ms,
            (took_ms, learnt_ms),
        );
        Some(ObservedProgress::Counted)
    }
}

/// Returns whether the run time of a task tells the speed of its worker. Members of a gang wait for the slowest one, tasks that use idle
/// processors are slowed down beside services, and services do not end.
fn is_comparable(spec: &StepSpec) -> bool {
    !spec.gang && !spec.fills_idle && !spec.long_running
}

/// Returns a progress of the run and when it had made it, or `None` if that must be observed first.
fn pace_start(run_state: &RunState, observed: Option<ObservedProgress>) -> Option<(u64, u64)> {
    match (run_state.start, observed) {
        (StartPhase::Confirmed { at_ms }, _) if !run_state.was_unconfirmed => Some((0, at_ms)),
        (_, Some(ObservedProgress::First(percent, at_ms))) => Some((percent, at_ms)),
        _ => None,
    }
}
