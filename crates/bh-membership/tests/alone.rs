//! An entry without a leader.

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

/// The leader falls silent. Only after every grant of it is over does the entry count as alone, and only a target that has
/// announced itself here alone for two leases is used, with the slots withheld that others' requests still take.
#[test]
fn a_target_is_used_once_nobody_else_can() {
    let mut alone = LeaderlessTargets::new(0, LEASE_MS);
    assert!(!alone.is_leaderless(2 * LEASE_MS - 1));
    assert!(alone.is_leaderless(2 * LEASE_MS));
    for at in (2_000..4_000).step_by(300) {
        alone.announce(at, announcement(3, 1));
        assert!(alone.usable(at).is_empty(), "used at {at}");
    }
    alone.announce(4_100, announcement(3, 1));
    assert_eq!(alone.usable(4_100)[0].withheld, 3);
    alone.announce(4_400, announcement(1, 1));
    assert_eq!(alone.usable(4_400)[0].withheld, 1);
}

/// A target that was silent for a lease may have served another entry: it waits again. So does one that restarted, and all
/// are given up as soon as a leader answers.
#[test]
fn unfaithful_targets_start_anew() {
    let mut alone = LeaderlessTargets::new(0, LEASE_MS);
    for at in (2_000..5_000).step_by(300) {
        alone.announce(at, announcement(0, 1));
    }
    assert_eq!(alone.usable(5_000).len(), 1);
    alone.announce(5_900, announcement(0, 1));
    assert!(alone.usable(5_900).is_empty(), "it was silent for a lease");
    for at in (6_200..8_300).step_by(300) {
        alone.announce(at, announcement(0, 1));
    }
    assert_eq!(alone.usable(8_300).len(), 1);
    alone.announce(8_400, announcement(0, 2));
    assert!(alone.usable(8_400).is_empty(), "it restarted");
    alone.note_leader(8_500);
    assert!(!alone.is_leaderless(8_500) && alone.usable(8_500).is_empty());
}
