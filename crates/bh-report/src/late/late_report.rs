//! Finds the late jobs in logs, with the cause of each.

use super::Cause;
use super::LogLine;
use super::job_log::JobEnd;
use super::job_log::JobLog;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Shortest time without a leader that is assumed for an election, in milliseconds: the logs do not always tell when the last leader was lost.
const MIN_ELECTION_MS: u64 = 1_000;
/// Number of characters in a job's name.
const NAME_LENGTH: usize = 16;

/// One late job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateJob {
    /// Name of the job.
    pub job: String,
    /// Queue of the job.
    pub queue: String,
    /// Priority of the queue.
    pub priority: u64,
    /// Time from the job's acceptance to its end, in milliseconds.
    pub took_ms: u64,
    /// Time within which the job should have ended, in milliseconds.
    pub objective_ms: u64,
    /// Cause that took the most time beside the work itself. It is the work (`RanLong`) if no other cause explains at least half of the delay.
    pub cause: Cause,
    /// Time that the job spent on each cause, in milliseconds.
    pub parts: BTreeMap<Cause, u64>,
}

/// The late jobs, and how many jobs ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateReport {
    /// Number of ended jobs with an objective, by priority of their queue.
    pub ended: BTreeMap<u64, u64>,
    /// Jobs that took more than the given multiple of their objective.
    pub late: Vec<LateJob>,
}

impl LateReport {
    /// Counts the late jobs by cause and priority of their queue.
    pub fn counts(&self) -> BTreeMap<(Cause, u64), u64> {
        let mut counts = BTreeMap::new();
        for job in &self.late {
            *counts.entry((job.cause, job.priority)).or_default() += 1;
        }
        counts
    }
}

/// Reads log lines of entries and cores, in any order, and reports the jobs that took more than `factor` times their objective.
pub fn late_report<'a>(lines: impl Iterator<Item = &'a str>, factor: u64) -> LateReport {
    let mut parsed: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    parsed.sort_by_key(|line| line.at_ms);
    let mut jobs: BTreeMap<&str, JobLog> = BTreeMap::new();
    let mut elections = Vec::new();
    for line in &parsed {
        if line.message == "leads" {
            let gap_ms = line.number("gap_ms").unwrap_or(0);
            let since_ms = line.at_ms - gap_ms.max(MIN_ELECTION_MS).min(line.at_ms);
            elections.push((since_ms, line.at_ms));
        }
        if let Some(job) = job_name(line) {
            jobs.entry(job).or_default().add_line(line);
        }
    }
    let mut report = LateReport::default();
    for (name, log) in jobs {
        let Some(end) = log.end.as_ref().filter(|end| end.objective_ms > 0) else {
            continue;
        };
        *report.ended.entry(end.priority).or_default() += 1;
        let parts = log.time_by_cause(end, &elections);
        let work_ms = parts.get(&Cause::RanLong).copied().unwrap_or(0);
        let objective_ms = end.objective_ms(work_ms);
        if end.took_ms > objective_ms * factor {
            report.late.push(late_job(name, end, objective_ms, parts));
        }
    }
    report
}

fn late_job(name: &str, end: &JobEnd, objective_ms: u64, parts: BTreeMap<Cause, u64>) -> LateJob {
    let largest_delay = parts
        .iter()
        .filter(|(cause, _)| **cause != Cause::RanLong)
        .max_by_key(|(_, ms)| **ms);
    let late_ms = end.took_ms.saturating_sub(objective_ms);
    let explaining = largest_delay.filter(|(_, ms)| **ms * 2 >= late_ms);
    LateJob {
        job: name.to_owned(),
        queue: end.queue.clone(),
        priority: end.priority,
        took_ms: end.took_ms,
        objective_ms,
        cause: explaining.map_or(Cause::RanLong, |(cause, _)| *cause),
        parts,
    }
}

/// Returns the name of the job that a line is about.
fn job_name<'a>(line: &LogLine<'a>) -> Option<&'a str> {
    let name_field = ["job", "run", "step"]
        .iter()
        .find_map(|key| line.fields.get(key));
    let path = || line.fields.get("path")?.rsplit('/').next();
    let name = match name_field {
        Some(name) => name.get(..NAME_LENGTH)?,
        None => path()?,
    };
    let is_name = name.len() == NAME_LENGTH && name.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_name.then_some(name)
}
