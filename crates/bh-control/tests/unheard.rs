//! Heartbeats that come while nobody leads.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_control::calls::Answer;
use bh_control::calls::WorkerHeartbeat;
use bh_control::core::Unheard;
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

/// All cores were down for some seconds. Three workers turn to a core that cannot take their heartbeats yet, and is elected a moment later:
/// one says what the record says, one has shrunk, one turns out to be taken by another leader. The first gets work at once, though nobody
/// has waited for its next heartbeat; the second only once its new size is recorded.
#[test]
fn a_new_leader_knows_what_it_heard_before() {
    let known = ["same", "shrunk", "taken"].map(|id| WorkerChange::Known(heartbeat(id, 8).info));
    let mut workload = Workload::default();
    workload.apply(Command::Workers(known.to_vec()));
    let mut unheard = Unheard::default();
    let came_ms = ELECTED_MS - 300;
    unheard.note(came_ms, &heartbeat("same", 8), &Answer::NotLeader);
    unheard.note(came_ms, &heartbeat("shrunk", 4), &Answer::NotLeader);
    unheard.note(came_ms, &heartbeat("taken", 8), &Answer::NotLeader);
    let heard = Answer::Heard { next_address: None };
    unheard.note(came_ms, &heartbeat("taken", 8), &heard);

    let timing = Timing::DEFAULT;
    let mut dispatcher = Dispatcher::new(timing, 2, ELECTED_MS, &workload).with_old_record();
    unheard.tell(&mut dispatcher, &workload);
    let is_current = |id: &str| {
        let target = dispatcher.view(&Incarnation::parse(id).unwrap());
        target.is_some_and(|target| target.is_current(ELECTED_MS, &timing))
    };
    assert!(is_current("same"));
    assert!(!is_current("shrunk"));
    assert!(!is_current("taken"));
}
