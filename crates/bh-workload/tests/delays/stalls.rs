//! Finds jobs that are stalled beside free capacity, judged by what the workers run and not by the record.

use super::history::Finding;
use super::history::Rule;
use super::site::Site;
use crate::support::live_worker::LiveWorker;
use crate::support::stalled_steps::StalledStep;
use crate::support::stalled_steps::stalled_steps;
use bh_workload::job::JobId;
use bh_workload::job::TaskId;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Longest time that a job may be stalled, in milliseconds.
pub const MAX_STALL_MS: u64 = 3_000;
/// Time after a disturbance from which a stall counts, in milliseconds: long enough for a lease to run out and for delayed messages to
/// arrive.
pub const SETTLE_MS: u64 = 4_000;
/// Time between checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 50;

/// How long a job was stalled.
#[derive(Clone, Copy, Debug)]
pub struct StallDuration {
    undisturbed_ms: u64,
    total_ms: u64,
}

impl StallDuration {
    /// Returns the longest undisturbed part of the stall, in milliseconds.
    pub fn undisturbed_ms(&self) -> u64 {
        self.undisturbed_ms
    }

    /// Returns the total length of the stall, in milliseconds.
    pub fn total_ms(&self) -> u64 {
        self.total_ms
    }
}

/// Stalls of jobs.
#[derive(Default)]
pub struct Stalls {
    /// When each current stall started, in milliseconds.
    since_ms: BTreeMap<JobId, u64>,
    reported: BTreeSet<JobId>,
    checked_ms: u64,
    pub disturbed_ms: u64,
    current: BTreeMap<JobId, StallDuration>,
    /// Stalls that have ended.
    pub ended: Vec<StallDuration>,
}

impl Site<'_> {
    /// Records that the site is disturbed until `until_ms`.
    pub fn disturb(&mut self, until_ms: u64) {
        self.stalls.disturbed_ms = self.stalls.disturbed_ms.max(until_ms);
    }

    /// Records which jobs are stalled now, and reports those that have been for too long.
    pub fn check_stalls(&mut self) {
        let now_ms = self.now_ms;
        if self.leader.is_none() {
            self.disturb(now_ms);
        }
        if now_ms < self.stalls.checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        self.stalls.checked_ms = now_ms;
        let found = stalled_steps(&self.record, &self.live_workers());
        let jobs: BTreeSet<JobId> = found
            .iter()
            .map(|stalled_step| stalled_step.step.job)
            .collect();
        let stalls = &mut self.stalls;
        stalls.since_ms.retain(|job, _| jobs.contains(job));
        let ended: Vec<JobId> = stalls.current.keys().copied().collect();
        let ended = ended.into_iter().filter(|job| !jobs.contains(job));
        for job in ended {
            stalls.ended.extend(stalls.current.remove(&job));
        }
        for stalled_step in found {
            self.record_stall(&stalled_step);
        }
    }

    fn record_stall(&mut self, stalled_step: &StalledStep) {
        let (now_ms, job) = (self.now_ms, stalled_step.step.job);
        let stalls = &mut self.stalls;
        let since_ms = *stalls.since_ms.entry(job).or_insert(now_ms);
        let from_ms = since_ms.max(stalls.disturbed_ms + SETTLE_MS);
        let undisturbed_ms = now_ms.saturating_sub(from_ms);
        let duration = StallDuration {
            undisturbed_ms,
            total_ms: now_ms - since_ms,
        };
        let longest = stalls.current.entry(job).or_insert(duration);
        longest.undisturbed_ms = longest.undisturbed_ms.max(undisturbed_ms);
        longest.total_ms = duration.total_ms;
        if undisturbed_ms <= MAX_STALL_MS || !stalls.reported.insert(job) {
            return;
        }
        let explained = self.explain(job);
        self.history.findings.push(Finding {
            rule: if stalled_step.slower {
                Rule::StartsPromptlyOutsideRack
            } else {
                Rule::StartsPromptly
            },
            at_ms: now_ms,
            task: Some(TaskId {
                step: stalled_step.step,
                index: 0,
            }),
            text: format!(
                "nothing of a job runs from {since_ms} to {now_ms} ms: {stalled_step:?}\n{explained}"
            ),
        });
    }

    /// Returns the workers that are up and reachable, with the runs on them.
    fn live_workers(&self) -> Vec<LiveWorker> {
        let workers = 0..self.workers.len();
        let reachable = workers.filter(|index| !self.is_disconnected(*index));
        reachable
            .map(|index| LiveWorker {
                info: self.info(index),
                runs: self.workers[index].runs.keys().copied().collect(),
            })
            .collect()
    }
}
