//! Crashes of workers that the leader has seen lately.

use crate::job::RunId;
use crate::job::TaskId;
use crate::state::Crash;
use crate::state::Evidence;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Number of workers that must crash within [`MASS_LOSS_MS`] to count as a loss of many workers at once.
const MASS_LOSS_WORKERS: usize = 3;
/// Time within which crashes have one cause, in milliseconds. Not all of them show at the same moment.
const MASS_LOSS_MS: u64 = 2_000;

/// A crash, and the runs that are suspected only because they were in progress.
#[derive(Clone, Debug)]
struct RecentCrash {
    /// When the leader detected it, on its clock in milliseconds.
    detected_ms: u64,
    weak_suspects: Vec<RunId>,
}

/// Crashes of the last seconds, by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCrashes {
    by_worker: BTreeMap<Incarnation, RecentCrash>,
    /// Tasks that were cleared because of a loss of many workers. Each is cleared once: several tasks that crash their workers some time after
    /// their starts may look like such a loss.
    cleared: BTreeSet<TaskId>,
}

impl RecentCrashes {
    /// Notes a crash. If many workers crashed lately, as when a rack loses power, what was in progress there is hardly the cause: removes such
    /// runs from the suspects, and returns those that were suspected of the earlier crashes and are to be cleared. A crash that is detected
    /// again, because it was not recorded, counts once.
    pub fn note(&mut self, now_ms: u64, crash: &mut Crash) -> Vec<RunId> {
        self.by_worker
            .retain(|_, other| now_ms < other.detected_ms + MASS_LOSS_MS);
        let is_weak = |evidence: Evidence| evidence == Evidence::Present;
        let suspects = crash.suspects.iter();
        let weak_suspects = suspects.filter(|suspect| is_weak(suspect.evidence));
        let recent = RecentCrash {
            detected_ms: now_ms,
            weak_suspects: weak_suspects.map(|suspect| suspect.run).collect(),
        };
        self.by_worker.entry(crash.worker.clone()).or_insert(recent);
        if self.by_worker.len() < MASS_LOSS_WORKERS {
            return Vec::new();
        }
        let others = self.by_worker.iter_mut();
        let earlier = others.filter(|(worker, _)| **worker != crash.worker);
        let suspected: Vec<RunId> = earlier
            .flat_map(|(_, other)| std::mem::take(&mut other.weak_suspects))
            .collect();
        crash
            .suspects
            .retain(|suspect| !is_weak(suspect.evidence) || !self.cleared.insert(suspect.run.task));
        let to_clear = suspected.into_iter();
        to_clear
            .filter(|run| self.cleared.insert(run.task))
            .collect()
    }
}
