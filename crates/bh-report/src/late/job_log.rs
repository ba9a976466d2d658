//! Collects the log lines about one job.

use super::Cause;
use super::LogLine;
use std::collections::BTreeMap;

/// One attempt at a step: all of the step's runs with the same attempt number.
#[derive(Clone, Debug, Default)]
struct Attempt {
    planned_ms: u64,
    ended_ms: u64,
    /// Why the attempt ended without a result; `None` when it completed or has not ended.
    end_cause: Option<Cause>,
}

/// The history of one job, put together from its log lines.
#[derive(Clone, Debug, Default)]
pub(super) struct JobLog {
    /// Longest time that a call submitting the job waited for its response, in milliseconds.
    submit_wait_ms: u64,
    /// Attempts by step and attempt number.
    attempts: BTreeMap<(String, u32), Attempt>,
    /// Reservations: when each was made and, if it was released before the job could use it, when; both in milliseconds since 1970.
    reservations: Vec<(u64, Option<u64>)>,
    /// End of the job, as the leader logged it.
    pub end: Option<JobEnd>,
}

/// End of a job, read from its `job over` line.
#[derive(Clone, Debug)]
pub(super) struct JobEnd {
    pub at_ms: u64,
    pub queue: String,
    pub priority: u64,
    pub took_ms: u64,
    pub objective_ms: u64,
    /// Multiple of the run time that the objective allows on top of its fixed part.
    slack_factor: f64,
    /// Fixed part of the objective, in milliseconds.
    target_ms: u64,
}

impl JobEnd {
    /// Returns the time in milliseconds within which the job should have ended, given that its completed attempts took `work_ms`. The leader logs an
    /// objective that follows from the usual run time of such jobs; a job with more work has more time.
    pub fn objective_ms(&self, work_ms: u64) -> u64 {
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times here are far below 2^53 ms"
        )]
        let scaled_work_ms = (work_ms as f64 * self.slack_factor) as u64;
        self.objective_ms.max(scaled_work_ms + self.target_ms)
    }
}

/// Splits a run's name, `JOB.OCCURRENCE.STEP.INDEX#ATTEMPT`, into its step and its attempt number.
fn step_and_attempt(run: &str) -> Option<(String, u32)> {
    let (task, number) = run.split_once('#')?;
    let (step, _) = task.rsplit_once('.')?;
    Some((step.to_owned(), number.parse().ok()?))
}

impl JobLog {
    /// Adds a line about the job.
    pub fn add_line(&mut self, line: &LogLine) {
        match &*line.message {
            "job handed in" => {
                self.submit_wait_ms = self
                    .submit_wait_ms
                    .max(line.number("took_ms").unwrap_or_default());
            }
            "run planned" => {
                if let Some(attempt) = self.attempt_of(line) {
                    attempt.planned_ms = line.at_ms;
                }
            }
            "run over" => self.end_run(line),
            "run lost with its worker" => self.end_without_result(line, Cause::WorkerLost),
            "stopped to make room for guaranteed work" => {
                self.end_without_result(line, Cause::Displaced)
            }
            "stopped since its worker leaves before it can end" => {
                self.end_without_result(line, Cause::WorkerLeft);
            }
            "run begun anew elsewhere" => self.end_without_result(line, Cause::BegunAnew),
            "room is made" => self.reservations.push((line.at_ms, None)),
            "room is no longer made" => {
                let latest = self.reservations.last_mut();
                if let Some((_, released_ms)) = latest
                    && line.fields.get("why") != Some(&"NotWaiting")
                {
                    *released_ms = Some(line.at_ms);
                }
            }
            "job over" => self.end = job_end(line),
            _ => {}
        }
    }

    /// The attempt that the line's `run` field belongs to.
    fn attempt_of(&mut self, line: &LogLine) -> Option<&mut Attempt> {
        let key = step_and_attempt(line.fields.get("run")?)?;
        Some(self.attempts.entry(key).or_default())
    }

    /// Ends an attempt without a result. The first cause that is logged counts: the other members of a gang end as its consequence.
    fn end_without_result(&mut self, line: &LogLine, cause: Cause) {
        if let Some(attempt) = self.attempt_of(line) {
            attempt.end_cause.get_or_insert(cause);
            attempt.ended_ms = attempt.ended_ms.max(line.at_ms);
        }
    }

    fn end_run(&mut self, line: &LogLine) {
        let cause = match line.fields.get("end").copied() {
            Some("Done") => {
                if let Some(attempt) = self.attempt_of(line) {
                    attempt.ended_ms = line.at_ms;
                }
                return;
            }
            Some("Lost" | "Lapsed") => Cause::WorkerLost,
            Some("Failed") => Cause::Failed,
            Some("NotStarted" | "Alone") => Cause::NotStarted,
            _ => Cause::Stopped,
        };
        self.end_without_result(line, cause);
    }

    /// Returns the milliseconds that the job spent on each cause. `elections` holds, for each election, since when no core led and when one began to.
    pub fn time_by_cause(&self, end: &JobEnd, elections: &[(u64, u64)]) -> BTreeMap<Cause, u64> {
        let mut parts: BTreeMap<Cause, u64> = BTreeMap::new();
        let mut add = |cause, ms: u64| {
            if ms > 0 {
                *parts.entry(cause).or_default() += ms;
            }
        };
        add(Cause::HandedInLate, self.submit_wait_ms);
        let accepted_ms = end.at_ms.saturating_sub(end.took_ms);
        let mut attempts: Vec<&Attempt> = self
            .attempts
            .values()
            .filter(|attempt| attempt.planned_ms > 0)
            .collect();
        attempts.sort_by_key(|attempt| attempt.planned_ms);
        let mut idle_since_ms = accepted_ms;
        for attempt in attempts {
            self.add_waiting_time((idle_since_ms, attempt.planned_ms), elections, &mut add);
            let ended_ms = if attempt.ended_ms > 0 {
                attempt.ended_ms
            } else {
                end.at_ms
            };
            let from_ms = attempt.planned_ms.max(idle_since_ms);
            let ran_ms = ended_ms.saturating_sub(from_ms);
            add(attempt.end_cause.unwrap_or(Cause::RanLong), ran_ms);
            idle_since_ms = idle_since_ms.max(ended_ms);
        }
        self.add_waiting_time((idle_since_ms, end.at_ms), elections, &mut add);
        parts
    }

    /// Divides a time in which nothing ran, from `from_ms` to `to_ms`, among the causes. Elections come first, then reservations, then the rest.
    fn add_waiting_time(
        &self,
        (from_ms, to_ms): (u64, u64),
        elections: &[(u64, u64)],
        add: &mut impl FnMut(Cause, u64),
    ) {
        let overlap_ms =
            |begin_ms: u64, end_ms: u64| end_ms.min(to_ms).saturating_sub(begin_ms.max(from_ms));
        let mut remaining_ms = to_ms.saturating_sub(from_ms);
        let mut take = |cause, ms: u64| {
            let ms = ms.min(remaining_ms);
            remaining_ms -= ms;
            add(cause, ms);
        };
        for (since_ms, leads_ms) in elections {
            take(Cause::NoLeader, overlap_ms(*since_ms, *leads_ms));
        }
        for (reserved_ms, released_ms) in &self.reservations {
            let cause = match released_ms {
                Some(_) => Cause::RoomMadeInVain,
                None => Cause::RoomMade,
            };
            take(
                cause,
                overlap_ms(*reserved_ms, released_ms.unwrap_or(to_ms)),
            );
        }
        take(Cause::WaitedForRoom, u64::MAX);
    }
}

/// Reads the end of a job from its `job over` line.
fn job_end(line: &LogLine) -> Option<JobEnd> {
    Some(JobEnd {
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
