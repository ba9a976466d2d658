//! What the ends of some members of a gang tell of the others.

use crate::job::RunId;
use crate::job::StepId;
use crate::state::EndKind;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Gangs of which members ended because another one did: those members, by step and number of the run.
///
/// A member ends as broken only when another has ended. Where all ended so but those on one worker, the first end was there; and since the members on
/// one worker end together, all of them are over once the time that a worker takes to end a run has passed, though nobody has heard it from that worker.
#[derive(Clone, Debug, Default)]
pub struct BrokenGangs {
    gangs: BTreeMap<(StepId, u32), Broken>,
}

/// What was heard of one.
#[derive(Clone, Debug)]
struct Broken {
    /// When the first of its members was heard to be over, on the leader's clock in milliseconds.
    heard_ms: u64,
    /// Those that ended as broken.
    members: BTreeSet<u32>,
    /// Whether one of them ended on a worker that may restart under its id: a late copy of its start may have begun it there once more, and it is not known
    /// which of its runs ended so.
    may_have_restarted: bool,
}

/// Time beyond the longest stop in which the other members on the lost worker may still end, in milliseconds: rounding, and a clock that is slow.
const SLACK_MS: u64 = 100;

impl BrokenGangs {
    /// The broken gangs in the record, for a leader that was elected at `now_ms`. When an earlier leader heard of the ends is not known on this
    /// clock.
    pub fn from_record(now_ms: u64, workload: &Workload) -> Self {
        let mut broken = Self::default();
        for run in workload.workers().flat_map(|worker| worker.runs.keys()) {
            let step = run.task.step;
            let progress = workload.job(step.job).and_then(|job| job.step(step));
            if let Some(progress) = progress.filter(|progress| !progress.broken.is_empty()) {
                let gang = broken.gang(now_ms, run);
                gang.members.clone_from(&progress.broken);
            }
        }
        broken
    }

    fn gang(&mut self, now_ms: u64, run: &RunId) -> &mut Broken {
        let gang = (run.task.step, run.attempt);
        self.gangs.entry(gang).or_insert_with(|| Broken {
            heard_ms: now_ms,
            members: BTreeSet::new(),
            may_have_restarted: false,
        })
    }

    /// Notes an end that `worker` listed, heard at `now_ms`.
    pub fn note(&mut self, now_ms: u64, worker: &Incarnation, run: RunId, kind: EndKind) {
        if kind == EndKind::Broken {
            let gang = self.gang(now_ms, &run);
            gang.members.insert(run.task.index);
            gang.may_have_restarted |= worker.started_ms.is_some();
        }
    }

    /// Whether the run `left`, of which no start is known to have been carried out, can be what broke its gang, if it is all that is left of it: it has
    /// then begun and ended on `worker`, which refuses it from then on.
    pub fn must_have_started(&self, worker: &Incarnation, left: &[RunId]) -> bool {
        let [run] = left else {
            return false;
        };
        let broken = self.gangs.get(&(run.task.step, run.attempt));
        worker.started_ms.is_none() && broken.is_some_and(|broken| !broken.may_have_restarted)
    }

    /// Forgets gangs of which nothing is open any more.
    pub fn forget_ended(&mut self, workload: &Workload) {
        self.gangs.retain(|(step, _), _| {
            let progress = workload.job(step.job).and_then(|job| job.step(*step));
            progress.is_some_and(|progress| progress.open_runs > 0)
        });
    }

    /// Whether the runs `left` of a gang are over at `now_ms`, where they are on one worker that takes `stop_ms` at most to end a run.
    pub fn have_ended(
        &self,
        (now_ms, stop_ms): (u64, u64),
        left: &[RunId],
        workload: &Workload,
    ) -> bool {
        let Some(first) = left.first() else {
            return false;
        };
        let step = first.task.step;
        let Some(broken) = self.gangs.get(&(step, first.attempt)) else {
            return false;
        };
        if now_ms < broken.heard_ms + stop_ms + SLACK_MS {
            return false;
        }
        let count = workload.step_spec(step).map_or(0, |spec| spec.count);
        let known: BTreeSet<u32> = left.iter().map(|run| run.task.index).collect();
        let known = known.union(&broken.members).count();
        u32::try_from(known).is_ok_and(|known| known == count)
    }
}
