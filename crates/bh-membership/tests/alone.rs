//! Tests of an entry without a leader.

use bh_membership::LeaderlessTargets;
use bh_protocol::target::Announcement;
use std::sync::Arc;

const LEASE_MS: u64 = 1_000;

fn announcement(busy_slots: u32, incarnation: u64) -> Announcement {
    Announcement {
        name: Arc::from("w"),
        incarnation,
        data_centre: Arc::from("a"),
        rack: Arc::from("r"),
        address: Arc::from("127.0.0.1:1"),
        cores: 1,
        memory_mib: 1,
        accelerators: 8,
        slots: 8,
        connections: 64,
        busy_slots,
        leaving: false,
        tasks: Vec::new(),
    }
}

/// The leader stops answering. The entry becomes leaderless only after all the leader's grants have expired. It then uses a target
/// only after the target has announced itself to this entry for two leases, and it withholds the slots that are still busy.
#[test]
fn a_target_is_used_once_nobody_else_can() {
    let mut targets = LeaderlessTargets::new(0, LEASE_MS);
    assert!(!targets.is_leaderless(2 * LEASE_MS - 1));
    assert!(targets.is_leaderless(2 * LEASE_MS));
    for at in (2_000..4_000).step_by(300) {
        targets.announce(at, announcement(3, 1));
        assert!(targets.usable(at).is_empty(), "used at {at}");
    }
    targets.announce(4_100, announcement(3, 1));
    assert_eq!(targets.usable(4_100)[0].withheld, 3);
    targets.announce(4_400, announcement(1, 1));
    assert_eq!(targets.usable(4_400)[0].withheld, 1);
}

/// A target that was silent for a lease may have served another entry, so it has to wait again. So does a target that restarted. All
/// targets are dropped as soon as a leader answers.
#[test]
fn silent_and_restarted_targets_wait_again() {
    let mut targets = LeaderlessTargets::new(0, LEASE_MS);
    for at in (2_000..5_000).step_by(300) {
        targets.announce(at, announcement(0, 1));
    }
    assert_eq!(targets.usable(5_000).len(), 1);
    targets.announce(5_900, announcement(0, 1));
    assert!(
        targets.usable(5_900).is_empty(),
        "it was silent for a lease"
    );
    for at in (6_200..8_300).step_by(300) {
        targets.announce(at, announcement(0, 1));
    }
    assert_eq!(targets.usable(8_300).len(), 1);
    targets.announce(8_400, announcement(0, 2));
    assert!(targets.usable(8_400).is_empty(), "it restarted");
    targets.note_leader(8_500);
    assert!(!targets.is_leaderless(8_500) && targets.usable(8_500).is_empty());
}
