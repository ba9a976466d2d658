//! A leader that is suspended while its followers run on.

mod support;

use support::ELECTION_MS;
use support::Group;
use support::HEARTBEAT_MS;
use support::InjectedBugs;

const ROUNDS: usize = 200;
/// Turns that the others have to elect a leader.
const TURNS: usize = 60;

/// A leader is suspended before it reads the answers to its last heartbeats, and another leader is elected meanwhile. When the old leader
/// resumes, it reads those answers first. If they counted as current, it would give orders beside the new leader, which assumes that the old
/// one has stopped.
#[test]
fn answers_that_are_read_late_confirm_no_leader() {
    let mut group = Group::new(3, InjectedBugs::default());
    group.run_rounds(ROUNDS);
    let old = group.leader().unwrap();
    group.advance(HEARTBEAT_MS);
    group.set_suspended(old, true);
    for _ in 0..TURNS {
        group.advance(ELECTION_MS / 10);
        group.deliver_all();
    }
    assert!(group.leader().is_some_and(|leader| leader != old));
    group.set_suspended(old, false);
    group.deliver_all();
    group.run_rounds(ROUNDS);
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}
