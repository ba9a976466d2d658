//! A group with far more observers than voters.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

mod support;

use support::ELECTION_MS;
use support::Group;
use support::HEARTBEAT_MS;

const REPLICAS: usize = 25;
const VOTERS: usize = 5;
const ROUNDS: usize = 200;
const COMMANDS: usize = 200;

fn group() -> Group {
    let mut group = Group::with_voters(REPLICAS, VOTERS);
    group.run_rounds(ROUNDS);
    group
}

/// Proposes a command, and passes a millisecond in which all messages are delivered.
fn propose(group: &mut Group) {
    let leader = group.leader().unwrap();
    group.propose(leader);
    group.advance(1);
    group.deliver_all();
}

/// Guards against a message to each observer for each command: the leader's processor is then used up by replicas that no caller waits for.
#[test]
fn commands_cost_no_message_for_each_observer() {
    let mut group = group();
    let before = group.sent;
    for _ in 0..COMMANDS {
        propose(&mut group);
    }
    let sent = group.sent - before;
    let observers = REPLICAS - VOTERS;
    assert!(
        sent < COMMANDS * observers,
        "{sent} messages for {COMMANDS} commands"
    );
    group.run_rounds(ROUNDS);
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}

/// Guards against a leader that never finds an observer that has caught up while commands are committed all the time.
#[test]
fn a_silent_voter_is_replaced_under_load() {
    let mut group = group();
    let lost = (0..VOTERS).find(|index| Some(*index) != group.leader());
    group.kill(lost.unwrap());
    let turns = 6 * ELECTION_MS + 4 * HEARTBEAT_MS;
    for _ in 0..turns {
        propose(&mut group);
    }
    assert_eq!(group.live_voters(), (VOTERS, VOTERS));
    assert_eq!(group.problems, Vec::<String>::new());
}
