//! All replicas of a group, or one of them, restart.

mod support;

use support::ELECTION_MS;
use support::Group;
use support::HEARTBEAT_MS;

/// Rounds of messages and ticks after which the group is idle.
const ROUNDS: usize = 400;
const REPLICAS: usize = 5;

/// Advances the time in small steps until there is a leader. Returns how long that took, in milliseconds.
fn time_to_lead(group: &mut Group) -> u64 {
    const STEP_MS: u64 = 5;
    let started_ms = group.now_ms;
    while group.leader().is_none() && group.now_ms < started_ms + 20 * ELECTION_MS {
        group.advance(STEP_MS);
        group.deliver_all();
    }
    group.now_ms - started_ms
}

/// All replicas lose power and restart. Until one leads again every caller is refused. No replica may wait for a full election timeout, since
/// there is no leader to wait for.
#[test]
fn a_group_that_lost_all_replicas_has_a_leader_before_one_could_be_missed() {
    let mut group = Group::with_voters(REPLICAS, REPLICAS);
    group.run_rounds(ROUNDS);
    for _ in 0..20 {
        for index in 0..REPLICAS {
            group.kill(index);
        }
        for index in 0..REPLICAS {
            group.start(index);
        }
        let took_ms = time_to_lead(&mut group);
        assert!(took_ms < ELECTION_MS, "{took_ms} ms");
        group.run_rounds(ROUNDS);
    }
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}

/// One replica restarts while there is a leader, and asks for votes before the leader reaches it. The other replicas hear from the leader and
/// refuse, so the leader stays.
#[test]
fn a_replica_that_starts_beside_a_leader_deposes_nobody() {
    let mut group = Group::with_voters(REPLICAS, REPLICAS);
    group.run_rounds(ROUNDS);
    let leader = group.leader().expect("a leader");
    let other = (leader + 1) % REPLICAS;
    for _ in 0..20 {
        group.kill(other);
        group.start(other);
        group.set_partitioned(other, true);
        for _ in 0..20 {
            group.advance(HEARTBEAT_MS / 2);
            group.deliver_all();
        }
        group.set_partitioned(other, false);
        group.run_rounds(ROUNDS);
        assert_eq!(group.leader(), Some(leader));
    }
    assert_eq!(group.problems, Vec::<String>::new());
}
