//! Heartbeats that came to a core while nobody led.

use crate::calls::Answer;
use crate::calls::WorkerHeartbeat;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::state::Workload;
use std::collections::BTreeMap;

/// Workers remembered at a time; about as many as a fleet has.
const MOST_REMEMBERED: usize = 20_000;

/// The last heartbeat of each worker that no leader took, and when it came on this core's clock, in milliseconds.
///
/// A worker whose heartbeat is not taken turns to core after core, so when one of them is elected it has heard most workers itself. It may
/// give them work at once where they say what the record says; were each to be waited for until its next heartbeat, urgent work would wait
/// for a second or more after each longer time without a leader.
#[derive(Clone, Debug, Default)]
pub struct Unheard {
    by_worker: BTreeMap<Incarnation, (u64, WorkerHeartbeat)>,
}

impl Unheard {
    /// Notes what became of a heartbeat that came at `now_ms`.
    pub fn note(&mut self, now_ms: u64, heartbeat: &WorkerHeartbeat, answer: &Answer) {
        let id = &heartbeat.info.id;
        if matches!(answer, Answer::Heard { .. }) {
            self.by_worker.remove(id);
        } else if self.by_worker.len() < MOST_REMEMBERED {
            let noted = (now_ms, heartbeat.clone());
            self.by_worker.insert(id.clone(), noted);
        }
    }

    /// Tells a new leader of the heartbeats that say what the record says; any other must be recorded first, and comes again.
    pub fn tell(&mut self, dispatcher: &mut Dispatcher, workload: &Workload) {
        for (id, (heard_ms, heartbeat)) in std::mem::take(&mut self.by_worker) {
            let is_known = workload.worker(&id).is_some_and(|worker| {
                worker.info.equals_ignoring_sequence(&heartbeat.info)
                    && worker.draining == heartbeat.draining
                    && worker.info.sequence <= heartbeat.sequence
            });
            if is_known {
                dispatcher.note_heartbeat(heard_ms, &id, heartbeat.clock_ms);
                dispatcher.note_cold(heard_ms, &id, heartbeat.cold_ms);
            }
        }
    }
}
