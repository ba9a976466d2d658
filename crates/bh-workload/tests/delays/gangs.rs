//! Gangs: tasks that work only together, and end together.

use super::site::Site;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::state::EndKind;
use std::collections::BTreeMap;

/// Time for which a member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// A gang at work.
#[derive(Clone, Copy)]
struct Whole {
    over_ms: u64,
    /// Whether one of its members fails then.
    fails: bool,
}

/// Gangs that have been whole, and members of broken ones that are being ended.
#[derive(Default)]
pub struct Gangs {
    whole: BTreeMap<(StepId, u32), Whole>,
    breaking: BTreeMap<(usize, RunId), u64>,
}

impl Gangs {
    /// Whether members of broken gangs are being ended.
    pub fn is_breaking(&self) -> bool {
        !self.breaking.is_empty()
    }
}

impl Site<'_> {
    /// Whether a step is a gang.
    pub fn is_gang(&self, step: StepId) -> bool {
        let spec = self.record.step_spec(step);
        spec.is_some_and(|spec| spec.gang)
    }

    /// Members at work, by step and attempt: worker and run.
    fn members(&self) -> BTreeMap<(StepId, u32), Vec<(usize, RunId)>> {
        let mut gangs: BTreeMap<(StepId, u32), Vec<(usize, RunId)>> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate() {
            for run in worker.runs.keys().filter(|run| self.is_gang(run.task.step)) {
                let members = gangs.entry((run.task.step, run.attempt)).or_default();
                members.push((index, *run));
            }
        }
        gangs
    }

    /// A worker that runs a member of a gang.
    pub fn worker_of_gang(&mut self) -> Option<usize> {
        let members = self.members();
        let all: Vec<usize> = members
            .values()
            .flatten()
            .map(|(worker, _)| *worker)
            .collect();
        let at = self.random.index(all.len());
        all.get(at).copied()
    }

    /// Gangs work once all members are there, end together, and break when one is gone; a member that waits for long ends alone.
    pub fn pass_gangs(&mut self) {
        let now_ms = self.now_ms;
        for (gang, members) in self.members() {
            let spec = self.record.step_spec(gang.0);
            let count = spec.map_or(0, |spec| spec.count);
            let is_whole = u32::try_from(members.len()).is_ok_and(|members| members == count);
            if is_whole && !self.gangs.whole.contains_key(&gang) {
                let fails = self.chance(self.case.failing_percent);
                let over_ms = now_ms + self.run_ms(fails);
                self.gangs.whole.insert(gang, Whole { over_ms, fails });
            }
            match self.gangs.whole.get(&gang).copied() {
                Some(_) if !is_whole => {
                    for (index, run) in members {
                        self.break_off(index, run);
                    }
                }
                Some(whole) if now_ms < whole.over_ms => {}
                Some(whole) if whole.fails => {
                    let (index, run) = members[0];
                    self.workers[index].end(run, EndKind::Failed);
                }
                Some(_) => {
                    for (index, run) in members {
                        self.workers[index].end(run, EndKind::Done);
                    }
                }
                None => self.end_alone(members),
            }
        }
        let over: Vec<(usize, RunId)> = self
            .gangs
            .breaking
            .iter()
            .filter(|(_, over_ms)| **over_ms <= now_ms)
            .map(|(member, _)| *member)
            .collect();
        for (index, run) in over {
            self.gangs.breaking.remove(&(index, run));
            self.workers[index].end(run, EndKind::Broken);
        }
    }

    /// A member of a broken gang ends within the time of a stop.
    fn break_off(&mut self, index: usize, run: RunId) {
        if !self.gangs.breaking.contains_key(&(index, run)) {
            let over_ms = self.now_ms + self.random.below(self.fleet().timing.stop_timeout_ms);
            self.gangs.breaking.insert((index, run), over_ms);
        }
    }

    fn end_alone(&mut self, members: Vec<(usize, RunId)>) {
        for (index, run) in members {
            let began_ms = self.workers[index].runs[&run].began_ms;
            if self.now_ms >= began_ms + GANG_TIMEOUT_MS {
                self.workers[index].end(run, EndKind::Alone);
            }
        }
    }
}
