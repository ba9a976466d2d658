//! Heartbeats received while there was no leader.

use crate::calls::Answer;
use crate::calls::WorkerHeartbeat;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::state::Workload;
use std::collections::BTreeMap;

/// Maximum number of workers remembered: about the size of a large fleet.
const MAX_WORKERS: usize = 20_000;

/// The last heartbeat of each worker that no leader has accepted, with its receive time on this core's clock in milliseconds.
///
/// A worker whose heartbeat is not accepted tries one core after another, so a newly elected core has heard from most workers itself. It
/// may give work at once to those whose heartbeat matches the replicated state. If it had to wait for each worker's next heartbeat, urgent
/// work would be delayed by a second or more after every longer period without a leader.
#[derive(Clone, Debug, Default)]
pub struct UndeliveredHeartbeats {
    by_worker: BTreeMap<Incarnation, (u64, WorkerHeartbeat)>,
}

impl UndeliveredHeartbeats {
    /// Records the result of a heartbeat received at `now_ms`: an accepted one is forgotten, any other is kept.
    pub fn note(&mut self, now_ms: u64, heartbeat: &WorkerHeartbeat, answer: &Answer) {
        let id = &heartbeat.info.id;
        if matches!(answer, Answer::Heard { .. }) {
            self.by_worker.remove(id);
        } else if self.by_worker.len() < MAX_WORKERS {
            let entry = (now_ms, heartbeat.clone());
            self.by_worker.insert(id.clone(), entry);
        }
    }

    /// Passes the heartbeats that match the replicated state to a new leader's dispatcher. Any other heartbeat must be recorded first, and
    /// the worker sends it again.
    pub fn replay(&mut self, dispatcher: &mut Dispatcher, workload: &Workload) {
        for (id, (received_ms, heartbeat)) in std::mem::take(&mut self.by_worker) {
            let matches_record = workload.worker(&id).is_some_and(|worker| {
                worker.info.equals_ignoring_sequence(&heartbeat.info)
                    && worker.draining == heartbeat.draining
                    && worker.info.sequence <= heartbeat.sequence
            });
            if matches_record {
                dispatcher.note_heartbeat(received_ms, &id, heartbeat.clock_ms);
                dispatcher.note_cold(received_ms, &id, heartbeat.cold_ms);
            }
        }
    }
}
