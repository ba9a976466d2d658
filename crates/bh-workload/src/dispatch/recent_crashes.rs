//! Crashes of workers that the leader has seen lately.

use crate::job::RunId;
use crate::state::Crash;
use crate::state::Evidence;
use crate::state::Workload;
use bh_protocol::Incarnation;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of workers that must crash within [`MASS_LOSS_MS`] to count as a loss of many workers at once.
const MASS_LOSS_WORKERS: usize = 3;
/// Time within which crashes have one cause, in milliseconds. Not all of them show at the same moment.
const MASS_LOSS_MS: u64 = 2_000;

/// A crash, and the runs that are suspected only because they were in progress.
#[derive(Clone, Debug)]
struct RecentCrash {
    /// When the leader detected it, on its clock in milliseconds.
    detected_ms: u64,
    /// The worker's address, which its next incarnation usually has too.
    address: Option<SocketAddr>,
    weak_suspects: Vec<RunId>,
}

/// Crashes of the last seconds, by incarnation of the worker.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCrashes {
    by_incarnation: BTreeMap<Incarnation, RecentCrash>,
}

impl RecentCrashes {
    /// Notes a crash. If many workers crashed lately, as when a rack loses power, returns the runs that are suspected of these crashes only because
    /// they were in progress there: they are hardly the cause. A crash that is detected again, because it was not recorded, counts once, and so do
    /// the crashes of one worker after the other at an address.
    pub fn note(&mut self, now_ms: u64, crash: &Crash, workload: &Workload) -> Vec<RunId> {
        self.by_incarnation
            .retain(|_, other| now_ms < other.detected_ms + MASS_LOSS_MS);
        let suspects = crash.suspects.iter();
        let weak_suspects = suspects.filter(|suspect| suspect.evidence == Evidence::Present);
        let worker = workload.worker(&crash.worker);
        let recent = RecentCrash {
            detected_ms: now_ms,
            address: worker.map(|worker| worker.info.address),
            weak_suspects: weak_suspects.map(|suspect| suspect.run).collect(),
        };
        self.by_incarnation.insert(crash.worker.clone(), recent);
        let crashes = self.by_incarnation.values();
        let addresses: BTreeSet<_> = crashes.map(|crash| crash.address).collect();
        if addresses.len() < MASS_LOSS_WORKERS {
            return Vec::new();
        }
        let crashes = self.by_incarnation.values_mut();
        crashes
            .flat_map(|crash| std::mem::take(&mut crash.weak_suspects))
            .collect()
    }
}
