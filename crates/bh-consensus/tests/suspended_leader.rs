//! A leader that loses the processor while its followers go on.

mod support;

use support::ELECTION_MS;
use support::Group;
use support::HEARTBEAT_MS;
use support::Planted;

const ROUNDS: usize = 200;
/// Turns in which the others elect a leader.
const TURNS: usize = 60;

/// A leader is suspended with the answers to its last heartbeats unread, and another is elected meanwhile. Back again, it reads those answers first. Taken for
/// news of now, they would have it give orders beside the new leader, which believes that it stopped.
#[test]
fn answers_that_are_read_late_confirm_no_leader() {
    let mut group = Group::new(3, Planted::default());
    group.calm(ROUNDS);
    let old = group.leader().unwrap();
    group.advance(HEARTBEAT_MS);
    group.set_frozen(old, true);
    for _ in 0..TURNS {
        group.advance(ELECTION_MS / 10);
        group.settle();
    }
    assert!(group.leader().is_some_and(|leader| leader != old));
    group.set_frozen(old, false);
    group.settle();
    group.calm(ROUNDS);
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}
