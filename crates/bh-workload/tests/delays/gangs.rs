//! Simulation of gangs, whose tasks work only together and end together.

use super::site::Site;
use bh_workload::job::RunId;
use bh_workload::job::StepId;
use bh_workload::state::EndKind;
use std::collections::BTreeMap;

/// Time that a member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// A gang whose members have all started.
#[derive(Clone, Copy)]
struct CompleteGang {
    end_ms: u64,
    /// Whether one of its members fails at that time.
    fails: bool,
}

/// Gangs that were complete, and members of broken gangs that are being ended.
#[derive(Default)]
pub struct Gangs {
    complete: BTreeMap<(StepId, u32), CompleteGang>,
    breaking: BTreeMap<(usize, RunId), u64>,
}

impl Gangs {
    /// Returns whether members of broken gangs are being ended.
    pub fn is_breaking(&self) -> bool {
        !self.breaking.is_empty()
    }
}

impl Site<'_> {
    /// Returns whether a step is a gang.
    pub fn is_gang(&self, step: StepId) -> bool {
        let spec = self.record.step_spec(step);
        spec.is_some_and(|spec| spec.gang)
    }

    /// Returns the running members as worker and run, by step and attempt.
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

    /// Returns a random worker that runs a member of a gang.
    pub fn random_gang_worker(&mut self) -> Option<usize> {
        let members = self.members();
        let all: Vec<usize> = members
            .values()
            .flatten()
            .map(|(worker, _)| *worker)
            .collect();
        let index = self.random.index(all.len());
        all.get(index).copied()
    }

    /// Lets gangs work once all members have started, end together, and break when a member is gone. A member that waits too long for the
    /// others ends alone.
    pub fn advance_gangs(&mut self) {
        let now_ms = self.now_ms;
        for (gang, members) in self.members() {
            let spec = self.record.step_spec(gang.0);
            let count = spec.map_or(0, |spec| spec.count);
            let is_complete = u32::try_from(members.len()).is_ok_and(|members| members == count);
            if is_complete && !self.gangs.complete.contains_key(&gang) {
                let fails = self.chance(self.case.failing_percent);
                let end_ms = now_ms + self.run_ms(fails);
                self.gangs
                    .complete
                    .insert(gang, CompleteGang { end_ms, fails });
            }
            match self.gangs.complete.get(&gang).copied() {
                Some(_) if !is_complete => {
                    for (index, run) in members {
                        self.end_broken_member(index, run);
                    }
                }
                Some(complete) if now_ms < complete.end_ms => {}
                Some(complete) if complete.fails => {
                    let (index, run) = members[0];
                    self.workers[index].end(run, EndKind::Failed);
                }
                Some(_) => {
                    for (index, run) in members {
                        self.workers[index].end(run, EndKind::Done);
                    }
                }
                None => self.end_waiting_members(members),
            }
        }
        let ended: Vec<(usize, RunId)> = self
            .gangs
            .breaking
            .iter()
            .filter(|(_, end_ms)| **end_ms <= now_ms)
            .map(|(member, _)| *member)
            .collect();
        for (index, run) in ended {
            self.gangs.breaking.remove(&(index, run));
            self.workers[index].end(run, EndKind::Broken);
        }
    }

    /// Ends a member of a broken gang within the longest time that a stop takes.
    fn end_broken_member(&mut self, index: usize, run: RunId) {
        if !self.gangs.breaking.contains_key(&(index, run)) {
            let end_ms = self.now_ms + self.random.below(self.fleet().timing.stop_timeout_ms);
            self.gangs.breaking.insert((index, run), end_ms);
        }
    }

    fn end_waiting_members(&mut self, members: Vec<(usize, RunId)>) {
        for (index, run) in members {
            let began_ms = self.workers[index].runs[&run].began_ms;
            if self.now_ms >= began_ms + GANG_TIMEOUT_MS {
                self.workers[index].end(run, EndKind::Alone);
            }
        }
    }
}
