//! History of the runs that workers started and ended, and the rules that it breaks.

use super::MAX_ATTEMPTS;
use bh_workload::job::RunId;
use bh_workload::job::TaskId;
use bh_workload::state::EndKind;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

/// A rule that a fuzz case may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No task runs twice at once on workers that are up.
    OneAtOnce,
    /// No run of a task starts after an end with success that is acknowledged, even if only later.
    NoStartAfterDone,
    /// No run of a task starts after the maximum number of failures, all of them acknowledged, even if only later.
    NoStartAfterMaxFailures,
    /// No worker forgets an end before it is recorded.
    RecordedBeforeForgotten,
    /// Every job ends.
    JobsEnd,
    /// A job that may start does so promptly where there is free capacity.
    StartsPromptly,
    /// As `StartsPromptly`, for a job that is slower there than in one rack.
    StartsPromptlyOutsideRack,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: Rule,
    /// When the rule was broken, in milliseconds.
    pub at_ms: u64,
    pub task: Option<TaskId>,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

/// A start of a run on a worker.
struct RunStart {
    /// Position among all starts and ends.
    position: usize,
    at_ms: u64,
    run: RunId,
    worker: String,
}

/// An end of a run on a worker.
struct RunEnd {
    /// Position among all starts and ends.
    position: usize,
    at_ms: u64,
    run: RunId,
    /// Whether the run is a member of a gang, whose members have all ended in the same way.
    is_gang: bool,
    kind: EndKind,
    /// Number of leases of the worker that had run out by then.
    lapses: u64,
    /// When the end was acknowledged, unless a lease ran out before.
    acknowledged_ms: Option<u64>,
}

impl RunEnd {
    /// Returns whether this is an end of the task of `run`, or of a gang that `run` is a member of.
    fn concerns(&self, run: RunId) -> bool {
        self.run.task == run.task || self.is_gang && self.run.task.step == run.task.step
    }
}

/// Starts and ends as the workers know them, over all their incarnations.
#[derive(Default)]
pub struct History {
    starts: Vec<RunStart>,
    ends: BTreeMap<(String, u64), RunEnd>,
    pub findings: Vec<Finding>,
}

impl History {
    /// Records that a worker started a run.
    pub fn record_start(&mut self, at_ms: u64, run: RunId, worker: &str) {
        self.starts.push(RunStart {
            position: self.starts.len() + self.ends.len(),
            at_ms,
            run,
            worker: worker.to_owned(),
        });
    }

    /// Returns the number of starts, and of those that are not the first of their task.
    pub fn count_starts(&self) -> (usize, usize) {
        let tasks: BTreeSet<TaskId> = self.starts.iter().map(|start| start.run.task).collect();
        (self.starts.len(), self.starts.len() - tasks.len())
    }

    /// Returns the number of acknowledged ends of a kind.
    pub fn count_acknowledged(&self, kind: EndKind) -> usize {
        let ends = self.ends.values();
        ends.filter(|end| end.kind == kind && end.acknowledged_ms.is_some())
            .count()
    }

    /// Records that a worker ended a run; returns whether the end is new.
    pub fn record_end(
        &mut self,
        at_ms: u64,
        worker: &str,
        (number, run, kind): (u64, RunId, EndKind),
        (lapses, is_gang): (u64, bool),
    ) -> bool {
        let key = (worker.to_owned(), number);
        let is_new = !self.ends.contains_key(&key);
        let position = self.starts.len() + self.ends.len();
        self.ends.entry(key).or_insert(RunEnd {
            position,
            at_ms,
            run,
            is_gang,
            kind,
            lapses,
            acknowledged_ms: None,
        });
        is_new
    }

    /// Acknowledges an end that a probe's cursor has reached, unless a lease of the worker has run out since the end: `lapses` have run out
    /// by now.
    pub fn acknowledge(&mut self, at_ms: u64, worker: &str, number: u64, lapses: u64) {
        if let Some(end) = self.ends.get_mut(&(worker.to_owned(), number))
            && end.lapses == lapses
        {
            end.acknowledged_ms.get_or_insert(at_ms);
        }
    }

    /// Finds the starts in the whole history that earlier ends forbid.
    pub fn check_starts(&mut self) {
        for start in &self.starts {
            let before = || {
                let ends = self.ends.values();
                ends.filter(|end| end.concerns(start.run) && end.position < start.position)
                    .filter(|end| end.acknowledged_ms.is_some())
            };
            let describe = |kind| {
                let ends = before().filter(|end| end.kind == kind);
                let ends = ends.map(|end| {
                    format!(
                        "{} at {} ms, acknowledged at {:?}",
                        end.run, end.at_ms, end.acknowledged_ms
                    )
                });
                ends.collect::<Vec<String>>()
            };
            let (done, failed) = (describe(EndKind::Done), describe(EndKind::Failed));
            let description = format!(
                "{} starts on {} at {} ms",
                start.run, start.worker, start.at_ms
            );
            if !done.is_empty() {
                self.findings.push(Finding {
                    rule: Rule::NoStartAfterDone,
                    at_ms: start.at_ms,
                    task: Some(start.run.task),
                    text: format!("{description} after it was done: {done:?}"),
                });
            }
            let attempts: BTreeSet<u32> = before()
                .filter(|end| end.kind == EndKind::Failed)
                .map(|end| end.run.attempt)
                .collect();
            if attempts.len() >= MAX_ATTEMPTS {
                self.findings.push(Finding {
                    rule: Rule::NoStartAfterMaxFailures,
                    at_ms: start.at_ms,
                    task: Some(start.run.task),
                    text: format!("{description} after it had failed: {failed:?}"),
                });
            }
        }
    }
}
