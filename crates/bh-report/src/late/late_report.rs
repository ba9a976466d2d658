//! The jobs that were late, with the cause of each.

use super::Cause;
use super::LogLine;
use super::job_log::JobLog;
use super::job_log::JobOver;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;

/// Time between a core's last sign as the leader and the next one's, where the logs do not tell when the first was lost, in milliseconds.
const USUAL_ELECTION_MS: u64 = 1_000;
/// Characters of a job's name.
const NAME_LENGTH: usize = 16;

/// One job that was late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateJob {
    /// Its name.
    pub job: String,
    /// Its queue.
    pub queue: String,
    /// Rank of the queue.
    pub priority: u64,
    /// Time from its acceptance to its end, in milliseconds.
    pub took_ms: u64,
    /// Time within which it was on time, in milliseconds.
    pub objective_ms: u64,
    /// What took most of its time beside the work, or the work itself where nothing else took as much as it was late.
    pub cause: Cause,
    /// Where its time went, in milliseconds.
    pub parts: BTreeMap<Cause, u64>,
}

/// The jobs that were late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateReport {
    /// Jobs with an objective that ended, by rank of their queue.
    pub ended: BTreeMap<u64, u64>,
    /// Those that took more than so many times their objective.
    pub late: Vec<LateJob>,
}

impl LateReport {
    /// Number of late jobs, by cause and rank of their queue.
    pub fn counts(&self) -> BTreeMap<(Cause, u64), u64> {
        let mut counts = BTreeMap::new();
        for job in &self.late {
            *counts.entry((job.cause, job.priority)).or_default() += 1;
        }
        counts
    }
}

/// Reads log lines of entries and cores, in any order, and tells the jobs that took more than `times` times their objective.
pub fn late_report<'a>(lines: impl Iterator<Item = &'a str>, times: u64) -> LateReport {
    let mut parsed: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    parsed.sort_by_key(|line| line.at_ms);
    let mut jobs: BTreeMap<&str, JobLog> = BTreeMap::new();
    let mut elections = Vec::new();
    for line in &parsed {
        if line.message == "leads" {
            let gap_ms = line.number("gap_ms").unwrap_or(0);
            let since_ms = line.at_ms - gap_ms.max(USUAL_ELECTION_MS).min(line.at_ms);
            elections.push((since_ms, line.at_ms));
        }
        if let Some(job) = job_of(line) {
            jobs.entry(job).or_default().note(line);
        }
    }
    let mut report = LateReport::default();
    for (name, log) in jobs {
        let Some(over) = log.over.as_ref().filter(|over| over.objective_ms > 0) else {
            continue;
        };
        *report.ended.entry(over.priority).or_default() += 1;
        let parts = log.parts(over, &elections);
        let work_ms = parts.get(&Cause::RanLong).copied().unwrap_or(0);
        let objective_ms = over.objective_ms(work_ms);
        if over.took_ms > objective_ms * times {
            report.late.push(late_job(name, over, objective_ms, parts));
        }
    }
    report
}

fn late_job(name: &str, over: &JobOver, objective_ms: u64, parts: BTreeMap<Cause, u64>) -> LateJob {
    let beside = parts
        .iter()
        .filter(|(cause, _)| **cause != Cause::RanLong)
        .max_by_key(|(_, ms)| **ms);
    let late_ms = over.took_ms.saturating_sub(objective_ms);
    let largest = beside.filter(|(_, ms)| **ms * 2 >= late_ms);
    LateJob {
        job: name.to_owned(),
        queue: over.queue.clone(),
        priority: over.priority,
        took_ms: over.took_ms,
        objective_ms,
        cause: largest.map_or(Cause::RanLong, |(cause, _)| *cause),
        parts,
    }
}

/// The job that a line is about.
fn job_of<'a>(line: &LogLine<'a>) -> Option<&'a str> {
    let named = ["job", "run", "step"]
        .iter()
        .find_map(|key| line.fields.get(key));
    let path = || line.fields.get("path")?.rsplit('/').next();
    let name = match named {
        Some(name) => name.get(..NAME_LENGTH)?,
        None => path()?,
    };
    let is_name = name.len() == NAME_LENGTH && name.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_name.then_some(name)
}
