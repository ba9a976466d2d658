//! Heartbeats received while there is no leader.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::calls::Answer;
use bh_control::calls::WorkerHeartbeat;
use bh_control::core::UndeliveredHeartbeats;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::dispatch::Timing;
use bh_workload::job::Resources;
use bh_workload::state::Command;
use bh_workload::state::WorkerChange;
use bh_workload::state::WorkerInfo;
use bh_workload::state::Workload;
use std::sync::Arc;

const ELECTED_MS: u64 = 10_000;

fn heartbeat(id: &str, accelerators: u64) -> WorkerHeartbeat {
    let info = WorkerInfo {
        id: Incarnation::parse(id).unwrap(),
        vm: None,
        pool: Arc::from("pool"),
        address: "10.9.0.1:80".parse().unwrap(),
        data_centre: Arc::from("dc"),
        rack: Arc::from("rack"),
        labels: Vec::new(),
        capacity: Resources {
            accelerators,
            ..Resources::default()
        },
        sequence: 7,
    };
    WorkerHeartbeat {
        info,
        draining: false,
        clock_ms: Some(5_000),
        sequence: 7,
        cold_ms: 0,
        leaves_in_ms: None,
    }
}

/// All cores were down for some seconds. Three workers send heartbeats to a core that cannot accept them yet and is elected a moment later.
/// One matches the replicated state, one has shrunk, and the heartbeat of the third is then accepted by another leader. The first worker
/// gets work at once, without waiting for its next heartbeat; the second one only after its new size is recorded.
#[test]
fn a_new_leader_uses_the_heartbeats_received_before_its_election() {
    let known = ["same", "shrunk", "taken"].map(|id| WorkerChange::Known(heartbeat(id, 8).info));
    let mut workload = Workload::default();
    workload.apply(Command::Workers(known.to_vec()));
    let mut undelivered = UndeliveredHeartbeats::default();
    let received_ms = ELECTED_MS - 300;
    undelivered.note(received_ms, &heartbeat("same", 8), &Answer::NotLeader);
    undelivered.note(received_ms, &heartbeat("shrunk", 4), &Answer::NotLeader);
    undelivered.note(received_ms, &heartbeat("taken", 8), &Answer::NotLeader);
    let heard = Answer::Heard { next_address: None };
    undelivered.note(received_ms, &heartbeat("taken", 8), &heard);

    let timing = Timing::DEFAULT;
    let mut dispatcher =
        Dispatcher::new(timing, 2, ELECTED_MS, &workload).with_outdated_worker_info();
    undelivered.replay(&mut dispatcher, &workload);
    let is_current = |id: &str| {
        let target = dispatcher.view(&Incarnation::parse(id).unwrap());
        target.is_some_and(|target| target.is_current(ELECTED_MS, &timing))
    };
    assert!(is_current("same"));
    assert!(!is_current("shrunk"));
    assert!(!is_current("taken"));
}
