//! What the lines about one job say.

use super::Cause;
use super::LogLine;
use std::collections::BTreeMap;

/// One try of a step: all runs of one number.
#[derive(Clone, Debug, Default)]
struct Try {
    planned_ms: u64,
    over_ms: u64,
    /// Why it ended; `None` when it counted, or has not ended.
    lost_by: Option<Cause>,
}

/// The lines about one job, put together.
#[derive(Clone, Debug, Default)]
pub(super) struct JobLog {
    /// How long its first call waited, in milliseconds.
    handed_in_ms: u64,
    /// Tries by step and number.
    tries: BTreeMap<(String, u32), Try>,
    /// When room began to be made for it, in milliseconds since 1970, and when that was given up.
    claims: Vec<(u64, Option<u64>)>,
    /// Its end, as the leader told it.
    pub over: Option<JobOver>,
}

/// The end of a job.
#[derive(Clone, Debug)]
pub(super) struct JobOver {
    pub at_ms: u64,
    pub queue: String,
    pub priority: u64,
    pub took_ms: u64,
    pub objective_ms: u64,
    /// Part of the objective that grows with the work, as a multiple of it.
    slack_factor: f64,
    /// Fixed part of the objective in milliseconds.
    target_ms: u64,
}

impl JobOver {
    /// Time within which the job was on time, in milliseconds, given that the tries that counted took `work_ms`. The leader expects it by the usual time
    /// of the job's kind; a job that simply is longer has more time.
    pub fn objective_ms(&self, work_ms: u64) -> u64 {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times here are far below 2^53 ms"
        )]
        let grown_ms = (work_ms as f64 * self.slack_factor) as u64;
        self.objective_ms.max(grown_ms + self.target_ms)
    }
}

/// The step and the number of a run's name, `JOB.OCCURRENCE.STEP.INDEX#NUMBER`.
fn step_and_number(run: &str) -> Option<(String, u32)> {
    let (task, number) = run.split_once('#')?;
    let (step, _) = task.rsplit_once('.')?;
    Some((step.to_owned(), number.parse().ok()?))
}

impl JobLog {
    /// Takes a line about the job.
    pub fn note(&mut self, line: &LogLine) {
        match &*line.message {
            "job handed in" => {
                self.handed_in_ms = self
                    .handed_in_ms
                    .max(line.number("took_ms").unwrap_or_default());
            }
            "run planned" => {
                if let Some(planned) = self.of_run(line) {
                    planned.planned_ms = line.at_ms;
                }
            }
            "run over" => self.note_end(line),
            "run lost with its worker" => self.lose(line, Cause::WorkerLost),
            "stopped to make room for guaranteed work" => self.lose(line, Cause::Displaced),
            "stopped since its worker leaves before it can end" => {
                self.lose(line, Cause::WorkerLeft);
            }
            "run begun anew elsewhere" => self.lose(line, Cause::BegunAnew),
            "room is made" => self.claims.push((line.at_ms, None)),
            "room is no longer made" => {
                let open = self.claims.last_mut();
                if let Some((_, given_up_ms)) = open
                    && line.fields.get("why") != Some(&"NotWaiting")
                {
                    *given_up_ms = Some(line.at_ms);
                }
            }
            "job over" => self.over = over(line),
            _ => {}
        }
    }

    fn of_run(&mut self, line: &LogLine) -> Option<&mut Try> {
        let key = step_and_number(line.fields.get("run")?)?;
        Some(self.tries.entry(key).or_default())
    }

    /// The first cause that is told of a try is the one that ended it: its other members end for that.
    fn lose(&mut self, line: &LogLine, cause: Cause) {
        if let Some(lost) = self.of_run(line) {
            lost.lost_by.get_or_insert(cause);
            lost.over_ms = lost.over_ms.max(line.at_ms);
        }
    }

    fn note_end(&mut self, line: &LogLine) {
        let cause = match line.fields.get("end").copied() {
            Some("Done") => {
                if let Some(done) = self.of_run(line) {
                    done.over_ms = line.at_ms;
                }
                return;
            }
            Some("Lost" | "Lapsed") => Cause::WorkerLost,
            Some("Failed") => Cause::Failed,
            Some("NotStarted" | "Alone") => Cause::NotStarted,
            _ => Cause::Stopped,
        };
        self.lose(line, cause);
    }

    /// Where the time of the job went, in milliseconds by cause. `elections` are the times at which a core came to lead, and since when none had.
    pub fn parts(&self, over: &JobOver, elections: &[(u64, u64)]) -> BTreeMap<Cause, u64> {
        let mut parts: BTreeMap<Cause, u64> = BTreeMap::new();
        let mut add = |cause, ms: u64| {
            if ms > 0 {
                *parts.entry(cause).or_default() += ms;
            }
        };
        add(Cause::HandedInLate, self.handed_in_ms);
        let accepted_ms = over.at_ms.saturating_sub(over.took_ms);
        let mut tries: Vec<&Try> = self.tries.values().filter(|t| t.planned_ms > 0).collect();
        tries.sort_by_key(|t| t.planned_ms);
        let mut free_ms = accepted_ms;
        for one in tries {
            self.add_wait((free_ms, one.planned_ms), elections, &mut add);
            let over_ms = if one.over_ms > 0 {
                one.over_ms
            } else {
                over.at_ms
            };
            let from_ms = one.planned_ms.max(free_ms);
            let ran_ms = over_ms.saturating_sub(from_ms);
            add(one.lost_by.unwrap_or(Cause::RanLong), ran_ms);
            free_ms = free_ms.max(over_ms);
        }
        self.add_wait((free_ms, over.at_ms), elections, &mut add);
        parts
    }

    /// Shares the time from `from_ms` to `to_ms` out, in which nothing ran.
    fn add_wait(
        &self,
        (from_ms, to_ms): (u64, u64),
        elections: &[(u64, u64)],
        add: &mut impl FnMut(Cause, u64),
    ) {
        let within =
            |begin_ms: u64, end_ms: u64| end_ms.min(to_ms).saturating_sub(begin_ms.max(from_ms));
        let mut left_ms = to_ms.saturating_sub(from_ms);
        let mut take = |cause, ms: u64| {
            let ms = ms.min(left_ms);
            left_ms -= ms;
            add(cause, ms);
        };
        for (since_ms, leads_ms) in elections {
            take(Cause::NoLeader, within(*since_ms, *leads_ms));
        }
        for (claimed_ms, given_up_ms) in &self.claims {
            let cause = match given_up_ms {
                Some(_) => Cause::RoomMadeInVain,
                None => Cause::RoomMade,
            };
            take(cause, within(*claimed_ms, given_up_ms.unwrap_or(to_ms)));
        }
        take(Cause::WaitedForRoom, u64::MAX);
    }
}

fn over(line: &LogLine) -> Option<JobOver> {
    Some(JobOver {
        at_ms: line.at_ms,
        queue: (*line.fields.get("queue")?).to_owned(),
        priority: line.number("priority")?,
        took_ms: line.number("took_ms")?,
        objective_ms: line.number("objective_ms")?,
        slack_factor: line
            .fields
            .get("slack_factor")
            .and_then(|factor| factor.parse().ok())
            .unwrap_or(0.0),
        target_ms: line.number("target_ms").unwrap_or(0),
    })
}
