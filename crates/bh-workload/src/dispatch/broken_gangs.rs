//! What the ends of some members of a gang tell of the others.

use crate::job::RunId;
use crate::job::StepId;
use crate::state::EndKind;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Gangs of which members ended because another one did: those members, by step and number of the run.
///
/// A member ends as broken only when another has ended. Where all ended so but those on one worker, the first end was there; and since the members on
/// one worker end together, all of them are over, though nobody has heard it from that worker.
#[derive(Clone, Debug, Default)]
pub struct BrokenGangs {
    members: BTreeMap<(StepId, u32), BTreeSet<u32>>,
}

impl BrokenGangs {
    /// Notes an end that a worker listed.
    pub fn note(&mut self, run: RunId, kind: EndKind) {
        if kind == EndKind::Broken {
            let gang = (run.task.step, run.attempt);
            let members = self.members.entry(gang).or_default();
            members.insert(run.task.index);
        }
    }

    /// Forgets gangs of which nothing is open any more.
    pub fn forget_ended(&mut self, workload: &Workload) {
        self.members.retain(|(step, _), _| {
            let progress = workload.job(step.job).and_then(|job| job.step(*step));
            progress.is_some_and(|progress| progress.open_runs > 0)
        });
    }

    /// Whether the runs `left` of a gang are over, where they are on one worker.
    pub fn are_over(&self, left: &[RunId], workload: &Workload) -> bool {
        let Some(first) = left.first() else {
            return false;
        };
        let step = first.task.step;
        let Some(broken) = self.members.get(&(step, first.attempt)) else {
            return false;
        };
        let count = workload.step_spec(step).map_or(0, |spec| spec.count);
        let known: BTreeSet<u32> = left.iter().map(|run| run.task.index).collect();
        let known = known.union(broken).count();
        u32::try_from(known).is_ok_and(|known| known == count)
    }
}
