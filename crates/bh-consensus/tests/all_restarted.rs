//! All replicas are lost at the same moment and start again.

mod support;

use support::ELECTION_MS;
use support::Group;
use support::HEARTBEAT_MS;

/// Rounds of messages and ticks after which the group has come to rest.
const ROUNDS: usize = 400;
const REPLICAS: usize = 5;

/// Passes time by small steps until there is a leader; returns how long that took, in milliseconds.
fn time_to_lead(group: &mut Group) -> u64 {
    const STEP_MS: u64 = 5;
    let began_ms = group.now_ms;
    while group.leader().is_none() && group.now_ms < began_ms + 20 * ELECTION_MS {
        group.advance(STEP_MS);
        group.settle();
    }
    group.now_ms - began_ms
}

/// All cores lose power. Until one leads again every caller is refused, so that each tenth of a second costs those who call then; nobody can hear a
/// leader, and none waits for the silence that would show that one was lost.
#[test]
fn a_group_that_lost_all_replicas_has_a_leader_before_one_could_be_missed() {
    let mut group = Group::with_voters(REPLICAS, REPLICAS);
    group.calm(ROUNDS);
    for _ in 0..20 {
        for index in 0..REPLICAS {
            group.kill(index);
        }
        for index in 0..REPLICAS {
            group.start(index);
        }
        let took_ms = time_to_lead(&mut group);
        assert!(took_ms < ELECTION_MS, "{took_ms} ms");
        group.calm(ROUNDS);
    }
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}

/// A single replica starts again while a leader is at work, and asks for votes before that leader has found it: the others hear the leader and
/// refuse, and it goes on leading in its term.
#[test]
fn a_replica_that_starts_beside_a_leader_deposes_nobody() {
    let mut group = Group::with_voters(REPLICAS, REPLICAS);
    group.calm(ROUNDS);
    let leader = group.leader().expect("a leader");
    let other = (leader + 1) % REPLICAS;
    for _ in 0..20 {
        group.kill(other);
        group.start(other);
        group.set_cut(other, true);
        for _ in 0..20 {
            group.advance(HEARTBEAT_MS / 2);
            group.settle();
        }
        group.set_cut(other, false);
        group.calm(ROUNDS);
        assert_eq!(group.leader(), Some(leader));
    }
    assert_eq!(group.problems, Vec::<String>::new());
}
