//! A group that keeps a number of voters out of the replicas that are there.

mod support;

use std::collections::BTreeSet;
use support::Group;

/// Rounds of messages and ticks after which the group has come to rest.
const ROUNDS: usize = 400;

fn names(indices: &[usize]) -> BTreeSet<String> {
    indices.iter().map(|index| format!("vm{index}")).collect()
}

fn propose(group: &mut Group) {
    if let Some(leader) = group.leader() {
        group.propose(leader);
    }
    group.calm(ROUNDS);
}

/// Four VMs, three of them vote. One voter is gone for good: the fourth takes its place, so that one more may be lost with nothing
/// acknowledged lost. Without that the second loss would leave one voter of two, and the group would stand still.
#[test]
fn a_silent_voter_is_replaced() {
    let mut group = Group::with_voters(4, 3);
    group.calm(ROUNDS);
    propose(&mut group);
    assert_eq!(group.voter_names(), names(&[0, 1, 2]));
    group.kill(1);
    group.calm(ROUNDS);
    assert_eq!(group.voter_names(), names(&[0, 2, 3]));
    group.kill(0);
    group.calm(ROUNDS);
    let before = group.acknowledged.len();
    propose(&mut group);
    assert_eq!(group.acknowledged.len(), before + 1);
    assert_eq!(group.problems, Vec::<String>::new());
}

/// A voter loses its disk and comes back at once. It must not count as who it was: its former identity leaves, and it votes again only
/// once it has caught up. Then another one may be lost.
#[test]
fn an_emptied_voter_votes_under_another_identity() {
    let mut group = Group::with_voters(3, 3);
    group.calm(ROUNDS);
    propose(&mut group);
    for lost in [1, 2, 0] {
        group.lose_disk(lost);
        group.start(lost);
        group.calm(ROUNDS);
        propose(&mut group);
        assert_eq!(group.voter_names(), names(&[0, 1, 2]));
        assert_eq!(group.live_voters(), (3, 3));
    }
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}

/// A voter is silent and nobody can take its place: it stays a voter. To leave would bring the group one loss nearer to its end.
#[test]
fn a_silent_voter_stays_when_nobody_can_replace_it() {
    let mut group = Group::with_voters(3, 3);
    group.calm(ROUNDS);
    propose(&mut group);
    group.kill(2);
    group.calm(ROUNDS);
    assert_eq!(group.voter_names(), names(&[0, 1, 2]));
    group.start(2);
    propose(&mut group);
    assert_eq!(group.live_voters(), (3, 3));
}
