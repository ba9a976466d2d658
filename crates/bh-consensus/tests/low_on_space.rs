//! Replicas whose disks have little space left.

mod support;

use support::ELECTION_MS;
use support::Group;
use support::HEARTBEAT_MS;
use support::InjectedBugs;

const ROUNDS: usize = 200;
/// Rounds in half an election timeout: without a transfer, nobody stands for election in them.
const HALF_ELECTION_ROUNDS: usize = (ELECTION_MS / HEARTBEAT_MS) as usize;

/// Creates a group of three VMs with a leader. Returns the leader too.
fn led_group() -> (Group, usize) {
    let mut group = Group::new(3, InjectedBugs::default());
    group.run_rounds(ROUNDS);
    let leader = group.leader().expect("a leader");
    (group, leader)
}

/// Guards against a group that records nothing although two of three members have disk space, because the one without it leads.
#[test]
fn a_leader_without_space_hands_the_lead_to_a_member_with_space() {
    let (mut group, leader) = led_group();
    let low = (leader + 1) % 3;
    group.set_low_on_space(low, true);
    group.run_rounds(HALF_ELECTION_ROUNDS);
    group.set_low_on_space(leader, true);
    group.run_rounds(HALF_ELECTION_ROUNDS);
    let successor = (leader + 2) % 3;
    assert_eq!(group.self_declared_leaders(), [successor]);
    group.propose(successor);
    group.run_rounds(ROUNDS);
    assert_eq!(group.self_declared_leaders(), [successor]);
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
    assert_eq!(group.acknowledged.len(), 1);
}

/// Guards against a group without a leader, and so without reads, because no member has disk space.
#[test]
fn a_group_without_space_keeps_its_leader() {
    let (mut group, leader) = led_group();
    for vm in 0..3 {
        group.set_low_on_space(vm, true);
    }
    // The leader may hand over once, before it has heard that the others have no space either.
    group.run_rounds(ROUNDS);
    let leaders = group.self_declared_leaders();
    assert_eq!(leaders.len(), 1, "{leaders:?} lead, before it was {leader}");
    for _ in 0..10 {
        group.run_rounds(ROUNDS / 10);
        assert_eq!(group.self_declared_leaders(), leaders);
    }
    let read = group.reads_answered;
    group.read(leaders[0]);
    group.run_rounds(HALF_ELECTION_ROUNDS);
    assert_eq!(group.reads_answered, read + 1);
}

/// Guards against a leader that takes large changes which a majority cannot store.
#[test]
fn a_leader_knows_whether_a_majority_has_space() {
    let (mut group, leader) = led_group();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    for (low, has_space) in [(0, true), (1, true), (2, false), (1, true)] {
        for (position, follower) in followers.iter().enumerate() {
            group.set_low_on_space(*follower, position < low);
        }
        group.run_rounds(HALF_ELECTION_ROUNDS);
        assert_eq!(group.has_space(leader), has_space, "{low} have none");
    }
}
