//! Infers from the ends of some members of a gang that the other members have ended too.

use crate::job::RunId;
use crate::job::StepId;
use crate::state::EndKind;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Gangs with members that ended as `Broken`, by step and number of the run.
///
/// A member ends as `Broken` only after another member has ended. If all members ended as `Broken` except those on one worker, the first
/// end was on that worker. The members on one worker end together, so all of them have ended once the time that a worker takes to stop a
/// run has passed, even if that worker has not reported it.
#[derive(Clone, Debug, Default)]
pub struct BrokenGangs {
    gangs: BTreeMap<(StepId, u32), BrokenGang>,
}

/// What is known of one broken gang.
#[derive(Clone, Debug)]
struct BrokenGang {
    /// When the first end of a member was reported, on the leader's clock in milliseconds.
    first_end_ms: u64,
    /// Members that ended as `Broken`, by index.
    members: BTreeSet<u32>,
    /// Whether one of them ended on a worker that may restart under its id. A delayed copy of its start order may have started the run
    /// there once more, and it is unknown which of the two runs ended as `Broken`.
    may_have_restarted: bool,
}

/// Time beyond the longest stop within which the other members on the lost worker may still end, in milliseconds: covers rounding and a
/// slow clock.
const STOP_SLACK_MS: u64 = 100;

impl BrokenGangs {
    /// The broken gangs in the record, for a leader that was elected at `now_ms`. When an earlier leader received the reports is not known
    /// on this clock.
    pub fn from_record(now_ms: u64, workload: &Workload) -> Self {
        let mut broken = Self::default();
        for run in workload.workers().flat_map(|worker| worker.runs.keys()) {
            let step = run.task.step;
            let progress = workload.job(step.job).and_then(|job| job.step(step));
            if let Some(progress) = progress.filter(|progress| !progress.broken.is_empty()) {
                let gang = broken.gang_entry(now_ms, run);
                gang.members.clone_from(&progress.broken);
            }
        }
        broken
    }

    fn gang_entry(&mut self, now_ms: u64, run: &RunId) -> &mut BrokenGang {
        let gang = (run.task.step, run.attempt);
        self.gangs.entry(gang).or_insert_with(|| BrokenGang {
            first_end_ms: now_ms,
            members: BTreeSet::new(),
            may_have_restarted: false,
        })
    }

    /// Notes an end that `worker` reported at `now_ms`.
    pub fn note(&mut self, now_ms: u64, worker: &Incarnation, run: RunId, kind: EndKind) {
        if kind == EndKind::Broken {
            let gang = self.gang_entry(now_ms, &run);
            gang.members.insert(run.task.index);
            gang.may_have_restarted |= worker.started_ms.is_some();
        }
    }

    /// Whether the runs `remaining` of a broken gang must have started on `worker`, even if the worker has not confirmed that. This holds for
    /// a single run, which must be the one that broke the gang, if no member can have been started again after a restart of its worker. It
    /// is only conclusive if all other members have ended as `Broken`, which [`BrokenGangs::all_ended`] checks. The run has then started and
    /// ended on `worker`, which refuses its start order from then on.
    pub fn must_have_started(&self, worker: &Incarnation, remaining: &[RunId]) -> bool {
        let [run] = remaining else {
            return false;
        };
        let broken = self.gangs.get(&(run.task.step, run.attempt));
        worker.started_ms.is_none() && broken.is_some_and(|broken| !broken.may_have_restarted)
    }

    /// Forgets gangs without open runs.
    pub fn forget_ended(&mut self, workload: &Workload) {
        self.gangs.retain(|(step, _), _| {
            let progress = workload.job(step.job).and_then(|job| job.step(*step));
            progress.is_some_and(|progress| progress.open_runs > 0)
        });
    }

    /// Whether the runs `remaining` of a gang have all ended at `now_ms`. They are on one worker, which takes at most `stop_ms` to stop a
    /// run.
    pub fn all_ended(
        &self,
        (now_ms, stop_ms): (u64, u64),
        remaining: &[RunId],
        workload: &Workload,
    ) -> bool {
        let Some(first) = remaining.first() else {
            return false;
        };
        let step = first.task.step;
        let Some(broken) = self.gangs.get(&(step, first.attempt)) else {
            return false;
        };
        if now_ms < broken.first_end_ms + stop_ms + STOP_SLACK_MS {
            return false;
        }
        let count = workload.step_spec(step).map_or(0, |spec| spec.count);
        let known: BTreeSet<u32> = remaining.iter().map(|run| run.task.index).collect();
        let known = known.union(&broken.members).count();
        u32::try_from(known).is_ok_and(|known| known == count)
    }
}
