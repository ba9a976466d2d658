//! What workers began and ended, and which rules that breaks.

use super::MAX_ATTEMPTS;
use bh_workload::job::RunId;
use bh_workload::job::TaskId;
use bh_workload::state::EndKind;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

/// A rule that a run of the fuzz may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No task runs twice at once on workers that live.
    OneAtOnce,
    /// Nothing begins after an end with success that was taken note of then or later.
    NotAfterDone,
    /// Nothing begins after as many failures as are allowed that were taken note of then or later.
    NotAfterFailures,
    /// No end is forgotten by its worker before the record holds it.
    RecordedFirst,
    /// Every job ends.
    JobsEnd,
    /// What may begin does so soon where there is room.
    BeginsSoon,
    /// The same for what would be slower there than in a rack of its own.
    BeginsSoonElsewhere,
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: Rule,
    /// When it was broken, in milliseconds.
    pub at_ms: u64,
    pub task: Option<TaskId>,
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.text)
    }
}

/// A run that a worker began.
struct Begin {
    /// Place among all begins and ends.
    place: usize,
    at_ms: u64,
    run: RunId,
    worker: String,
}

/// A run that a worker ended.
struct End {
    /// Place among all begins and ends.
    place: usize,
    at_ms: u64,
    run: RunId,
    /// Whether it is one of a gang, whose members have all ended as this one did.
    is_gang: bool,
    kind: EndKind,
    /// Leases of the worker that had run out by then.
    lapses: u64,
    /// When it was taken note of, unless a lease ran out before.
    noted_ms: Option<u64>,
}

impl End {
    /// Whether it is an end of the task of `run`, or of a gang of which that is a member.
    fn tells_of(&self, run: RunId) -> bool {
        self.run.task == run.task || self.is_gang && self.run.task.step == run.task.step
    }
}

/// Begins and ends as the workers know them, over all their lives.
#[derive(Default)]
pub struct History {
    begins: Vec<Begin>,
    ends: BTreeMap<(String, u64), End>,
    pub findings: Vec<Finding>,
}

impl History {
    /// Notes that a worker began a run.
    pub fn note_begin(&mut self, at_ms: u64, run: RunId, worker: &str) {
        self.begins.push(Begin {
            place: self.begins.len() + self.ends.len(),
            at_ms,
            run,
            worker: worker.to_owned(),
        });
    }

    /// Begins, and those of them that are not the first of their task.
    pub fn begins(&self) -> (usize, usize) {
        let tasks: BTreeSet<TaskId> = self.begins.iter().map(|begin| begin.run.task).collect();
        (self.begins.len(), self.begins.len() - tasks.len())
    }

    /// Ends that were taken note of, of a kind.
    pub fn noted(&self, kind: EndKind) -> usize {
        let ends = self.ends.values();
        ends.filter(|end| end.kind == kind && end.noted_ms.is_some())
            .count()
    }

    /// Notes that a worker ended a run; returns whether that is new.
    pub fn note_end(
        &mut self,
        at_ms: u64,
        worker: &str,
        (number, run, kind): (u64, RunId, EndKind),
        (lapses, is_gang): (u64, bool),
    ) -> bool {
        let key = (worker.to_owned(), number);
        let is_new = !self.ends.contains_key(&key);
        let place = self.begins.len() + self.ends.len();
        self.ends.entry(key).or_insert(End {
            place,
            at_ms,
            run,
            is_gang,
            kind,
            lapses,
            noted_ms: None,
        });
        is_new
    }

    /// Notes that a cursor reached an end when `lapses` leases of the worker had run out.
    pub fn note_cursor(&mut self, at_ms: u64, worker: &str, number: u64, lapses: u64) {
        if let Some(end) = self.ends.get_mut(&(worker.to_owned(), number))
            && end.lapses == lapses
        {
            end.noted_ms.get_or_insert(at_ms);
        }
    }

    /// Starts that the ends before them forbid, over the whole history.
    pub fn check_begins(&mut self) {
        for begin in &self.begins {
            let before = || {
                let ends = self.ends.values();
                ends.filter(|end| end.tells_of(begin.run) && end.place < begin.place)
                    .filter(|end| end.noted_ms.is_some())
            };
            let told = |kind| {
                let ends = before().filter(|end| end.kind == kind);
                let ends = ends.map(|end| {
                    format!(
                        "{} at {} ms, noted at {:?}",
                        end.run, end.at_ms, end.noted_ms
                    )
                });
                ends.collect::<Vec<String>>()
            };
            let (done, failed) = (told(EndKind::Done), told(EndKind::Failed));
            let start = format!(
                "{} begins on {} at {} ms",
                begin.run, begin.worker, begin.at_ms
            );
            if !done.is_empty() {
                self.findings.push(Finding {
                    rule: Rule::NotAfterDone,
                    at_ms: begin.at_ms,
                    task: Some(begin.run.task),
                    text: format!("{start} after it was done: {done:?}"),
                });
            }
            let attempts: BTreeSet<u32> = before()
                .filter(|end| end.kind == EndKind::Failed)
                .map(|end| end.run.attempt)
                .collect();
            if attempts.len() >= MAX_ATTEMPTS {
                self.findings.push(Finding {
                    rule: Rule::NotAfterFailures,
                    at_ms: begin.at_ms,
                    task: Some(begin.run.task),
                    text: format!("{start} after it had failed: {failed:?}"),
                });
            }
        }
    }
}
