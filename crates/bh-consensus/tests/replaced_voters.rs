//! A group that keeps a fixed number of voters out of the available replicas.

mod support;

use std::collections::BTreeSet;
use support::Group;

/// Rounds of messages and ticks after which the group is idle.
const ROUNDS: usize = 400;

fn names(indices: &[usize]) -> BTreeSet<String> {
    indices.iter().map(|index| format!("vm{index}")).collect()
}

fn propose(group: &mut Group) {
    if let Some(leader) = group.leader() {
        group.propose(leader);
    }
    group.run_rounds(ROUNDS);
}

/// Four VMs, three of them voters. One voter fails for good and the fourth VM replaces it, so that one more may fail and acknowledged entries
/// are still kept. Without the replacement the second failure would leave no majority, and the group could commit nothing.
#[test]
fn a_silent_voter_is_replaced() {
    let mut group = Group::with_voters(4, 3);
    group.run_rounds(ROUNDS);
    propose(&mut group);
    assert_eq!(group.voter_names(), names(&[0, 1, 2]));
    group.kill(1);
    group.run_rounds(ROUNDS);
    assert_eq!(group.voter_names(), names(&[0, 2, 3]));
    group.kill(0);
    group.run_rounds(ROUNDS);
    let before = group.acknowledged.len();
    propose(&mut group);
    assert_eq!(group.acknowledged.len(), before + 1);
    assert_eq!(group.problems, Vec::<String>::new());
}

/// A voter loses its disk and restarts at once. It must not count as the former voter: the leader removes its former identity and adds the new
/// one once that has caught up. After that another disk may be lost.
#[test]
fn an_emptied_voter_votes_under_another_identity() {
    let mut group = Group::with_voters(3, 3);
    group.run_rounds(ROUNDS);
    propose(&mut group);
    for lost in [1, 2, 0] {
        group.lose_disk(lost);
        group.start(lost);
        group.run_rounds(ROUNDS);
        propose(&mut group);
        assert_eq!(group.voter_names(), names(&[0, 1, 2]));
        assert_eq!(group.live_voters(), (3, 3));
    }
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}

/// A voter is silent and no replica can take its place: it stays a voter, since a group with fewer voters tolerates fewer failures.
#[test]
fn a_silent_voter_stays_when_nobody_can_replace_it() {
    let mut group = Group::with_voters(3, 3);
    group.run_rounds(ROUNDS);
    propose(&mut group);
    group.kill(2);
    group.run_rounds(ROUNDS);
    assert_eq!(group.voter_names(), names(&[0, 1, 2]));
    group.start(2);
    propose(&mut group);
    assert_eq!(group.live_voters(), (3, 3));
}

/// A voter is partitioned for so long that the fourth VM replaces it, and then returns. It never received the entry that removed it, so it
/// still believes that it is a voter, requests votes that it never gets, and the leader doesn't know of it. The leader must send it the log all
/// the same: otherwise it stays behind, and when another voter fails later there is no replica to take that voter's place.
#[rstest::rstest]
#[case::follower(false)]
#[case::leader(true)]
fn a_replaced_voter_that_returns_can_replace_another(#[case] leads: bool) {
    let mut group = Group::with_voters(4, 3);
    group.run_rounds(ROUNDS);
    propose(&mut group);
    let leader = group.leader().unwrap();
    let away = if leads { leader } else { (leader + 1) % 3 };
    group.set_partitioned(away, true);
    group.run_rounds(ROUNDS);
    let others: Vec<usize> = (0..4).filter(|index| *index != away).collect();
    assert_eq!(group.voter_names(), names(&others));
    group.set_partitioned(away, false);
    group.run_rounds(ROUNDS);
    propose(&mut group);
    let lost = others
        .into_iter()
        .find(|index| Some(*index) != group.leader())
        .unwrap();
    group.kill(lost);
    group.run_rounds(ROUNDS);
    let left: Vec<usize> = (0..4).filter(|index| *index != lost).collect();
    assert_eq!(group.voter_names(), names(&left));
    assert_eq!(group.problems, Vec::<String>::new());
}
