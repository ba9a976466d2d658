//! When workers last crashed, for as long as that speaks against them.

use super::Steadiness;
use crate::state::Crash;
use crate::state::Evidence;
use crate::state::Workload;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Time after a crash of a worker within which it may crash again for the same cause, in milliseconds. A task of a service may be missing for 7 s
/// after the last fault, and its start takes a while.
const UNSTEADY_MS: u64 = 5_000;
/// Time for which a crash is remembered, in milliseconds.
const MEMORY_MS: u64 = 60_000;

/// The last crash at an address.
#[derive(Clone, Copy, Debug)]
struct LastCrash {
    /// When the leader detected it, on its clock in milliseconds.
    detected_ms: u64,
    /// Whether a run may have been the cause.
    has_suspects: bool,
}

/// The last crash of each worker, by address, which the next incarnation usually has too. It is lost with the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    by_address: BTreeMap<SocketAddr, LastCrash>,
}

impl CrashHistory {
    /// Notes a crash. If the worker has crashed shortly before without a run that may have been the cause, it goes down by itself, and the evidence
    /// against its runs becomes [`Evidence::Possible`].
    pub fn note(&mut self, now_ms: u64, crash: &mut Crash, workload: &Workload) {
        self.by_address
            .retain(|_, crash| now_ms < crash.detected_ms + MEMORY_MS);
        let Some(worker) = workload.worker(&crash.worker) else {
            return;
        };
        let last_crash = LastCrash {
            detected_ms: now_ms,
            has_suspects: !crash.suspects.is_empty(),
        };
        let earlier = self.by_address.insert(worker.info.address, last_crash);
        let crashes_by_itself = earlier.is_some_and(|earlier| {
            !earlier.has_suspects && now_ms < earlier.detected_ms + UNSTEADY_MS
        });
        if crashes_by_itself {
            for suspect in &mut crash.suspects {
                suspect.evidence = Evidence::Possible;
            }
        }
    }

    /// The steadiness of the worker at an address.
    pub fn steadiness(&self, now_ms: u64, address: SocketAddr) -> Steadiness {
        match self.by_address.get(&address) {
            Some(crash) if now_ms < crash.detected_ms + UNSTEADY_MS => Steadiness::Unsteady,
            Some(crash) if now_ms < crash.detected_ms + MEMORY_MS => Steadiness::Recovered,
            _ => Steadiness::Clean,
        }
    }
}
