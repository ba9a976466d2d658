//! Jobs that stand still though there is room, by what the workers really do.

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

/// Time for which a job may stand still, in milliseconds.
pub const BOUND_MS: u64 = 3_000;
/// Time without a disturbance from which it counts, in milliseconds: a lease runs out once, and what was held up comes.
pub const CALM_MS: u64 = 4_000;
/// Time between looks, in milliseconds.
const LOOK_MS: u64 = 50;

/// A time for which a job stood still.
#[derive(Clone, Copy, Debug)]
pub struct Stretch {
    calm_ms: u64,
    whole_ms: u64,
}

impl Stretch {
    /// Its length without what was disturbed, in milliseconds.
    pub fn calm_ms(&self) -> u64 {
        self.calm_ms
    }

    /// Its whole length, in milliseconds.
    pub fn whole_ms(&self) -> u64 {
        self.whole_ms
    }
}

/// Jobs that stand still.
#[derive(Default)]
pub struct Stands {
    /// Since when, in milliseconds.
    since_ms: BTreeMap<JobId, u64>,
    found: BTreeSet<JobId>,
    looked_ms: u64,
    pub disturbed_ms: u64,
    now: BTreeMap<JobId, Stretch>,
    /// Those that are over.
    pub over: Vec<Stretch>,
}

impl Site<'_> {
    /// Notes that something is disturbed until then.
    pub fn disturb(&mut self, until_ms: u64) {
        self.stands.disturbed_ms = self.stands.disturbed_ms.max(until_ms);
    }

    /// Notes which jobs stand still now, and those that do for too long.
    pub fn look_at_stands(&mut self) {
        let now_ms = self.now_ms;
        if self.leader.is_none() {
            self.disturb(now_ms);
        }
        if now_ms < self.stands.looked_ms + LOOK_MS {
            return;
        }
        self.stands.looked_ms = now_ms;
        let found = stalled_steps(&self.record, &self.true_workers());
        let jobs: BTreeSet<JobId> = found.iter().map(|stalled| stalled.step.job).collect();
        let stands = &mut self.stands;
        stands.since_ms.retain(|job, _| jobs.contains(job));
        let over: Vec<JobId> = stands.now.keys().copied().collect();
        let over = over.into_iter().filter(|job| !jobs.contains(job));
        for job in over {
            stands.over.extend(stands.now.remove(&job));
        }
        for standing in found {
            self.note_standing(&standing);
        }
    }

    fn note_standing(&mut self, standing: &StalledStep) {
        let (now_ms, job) = (self.now_ms, standing.step.job);
        let stands = &mut self.stands;
        let since_ms = *stands.since_ms.entry(job).or_insert(now_ms);
        let from_ms = since_ms.max(stands.disturbed_ms + CALM_MS);
        let calm_ms = now_ms.saturating_sub(from_ms);
        let stretch = Stretch {
            calm_ms,
            whole_ms: now_ms - since_ms,
        };
        let longest = stands.now.entry(job).or_insert(stretch);
        longest.calm_ms = longest.calm_ms.max(calm_ms);
        longest.whole_ms = stretch.whole_ms;
        if calm_ms <= BOUND_MS || !stands.found.insert(job) {
            return;
        }
        let explained = self.explain(job);
        self.history.findings.push(Finding {
            rule: if standing.slower {
                Rule::BeginsSoonElsewhere
            } else {
                Rule::BeginsSoon
            },
            at_ms: now_ms,
            task: Some(TaskId {
                step: standing.step,
                index: 0,
            }),
            text: format!(
                "nothing of a job runs from {since_ms} to {now_ms} ms: {standing:?}\n{explained}"
            ),
        });
    }

    /// Workers that are up and reachable.
    fn true_workers(&self) -> Vec<LiveWorker> {
        let all = 0..self.workers.len();
        let reachable = all.filter(|index| !self.is_cut(*index));
        reachable
            .map(|index| LiveWorker {
                info: self.info(index),
                runs: self.workers[index].runs.keys().copied().collect(),
            })
            .collect()
    }
}
