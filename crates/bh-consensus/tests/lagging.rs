//! Followers that are far behind, over slow links.

mod support;

use support::Group;
use support::HEARTBEAT_MS;
use support::InjectedBugs;

/// Rounds without a limit on deliveries; in each, time advances by one tick and all messages are delivered.
const ROUNDS: usize = 200;
/// Rounds in an election timeout.
const ELECTION_ROUNDS: usize = 10;
/// Commands proposed while the follower is partitioned: several batches.
const MISSED_COMMANDS: usize = 3_000;
/// Turns after the partition has healed. In each, one command is proposed, time advances by a quarter of a heartbeat, and only
/// [`MESSAGES_PER_TURN`] messages are delivered.
const TURNS: usize = 300;
/// Messages that all links together deliver in one turn. A leader that resends what is already in flight produces more than this in each turn.
const MESSAGES_PER_TURN: usize = 6;

/// A follower returns thousands of entries behind, over a slow link. The leader does not know where the follower's log ends until the follower
/// answers, so the follower rejects every batch that was sent before its first answer arrives. A leader that responds to each rejection with
/// another batch sends the same entries hundreds of times: they pile up in its memory, saturate the link, and the follower never catches up.
#[test]
fn a_follower_far_behind_is_sent_about_what_it_lacks() {
    let mut group = Group::new(3, InjectedBugs::default());
    group.run_rounds(ROUNDS);
    let leader = group.leader().unwrap();
    let away = (leader + 1) % 3;
    group.set_partitioned(away, true);
    for _ in 0..MISSED_COMMANDS {
        group.propose(leader);
    }
    group.run_rounds(ROUNDS);
    group.set_partitioned(away, false);
    let before = group.sent_entries;
    for _ in 0..TURNS {
        group.propose(leader);
        group.advance(HEARTBEAT_MS / 4);
        for _ in 0..MESSAGES_PER_TURN {
            group.deliver(0, false);
        }
    }
    group.run_rounds(ROUNDS);
    let sent = group.sent_entries - before;
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
    // The returning follower lacked the missed commands, and both followers lacked the one of each turn. As many again are allowed for batches
    // that were sent twice.
    let lacked = MISSED_COMMANDS + 2 * TURNS;
    assert!(
        sent <= 2 * lacked,
        "{sent} entries sent where {lacked} were lacking"
    );
}

/// Size of a large command, in bytes.
const LARGE_BYTES: usize = 400 << 10;
/// Limit of the bytes in flight to a follower that answers nothing: two of the largest messages, and the command that takes each above its limit.
const MAX_IN_FLIGHT_BYTES: usize = 4 << 20;

/// Guards against a leader whose memory fills up with large commands for a follower that answers nothing while its link is open.
#[test]
fn a_silent_follower_is_sent_few_large_commands() {
    let mut group = Group::new(3, InjectedBugs::default());
    group.run_rounds(ROUNDS);
    let leader = group.leader().unwrap();
    let silent = (leader + 1) % 3;
    group.set_suspended(silent, true);
    for _ in 0..200 {
        group.propose_large(leader, LARGE_BYTES);
        group.run_rounds(1);
        let bytes = group.bytes_in_flight_to(silent);
        assert!(bytes <= MAX_IN_FLIGHT_BYTES, "{bytes} bytes in flight");
    }
    group.set_suspended(silent, false);
    group.run_rounds(ROUNDS);
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}

/// Guards against a leader that sends a large snapshot again and again to a follower that is still receiving it. A silent link is closed before
/// the end of the test.
#[test]
fn a_silent_follower_is_sent_few_large_snapshots() {
    const COMMANDS: usize = 5_000;
    /// Size of the snapshot in bytes: the state machine of the simulation has eight for each command.
    const SNAPSHOT_BYTES: usize = 8 * COMMANDS;
    let mut group = Group::new(3, InjectedBugs::default());
    group.run_rounds(ROUNDS);
    let leader = group.leader().unwrap();
    let silent = (leader + 1) % 3;
    group.set_partitioned(silent, true);
    for _ in 0..COMMANDS {
        group.propose(leader);
    }
    group.run_rounds(ROUNDS);
    group.snapshot(leader);
    group.set_partitioned(silent, false);
    group.set_suspended(silent, true);
    group.run_rounds(15 * ELECTION_ROUNDS);
    let bytes = group.bytes_in_flight_to(silent);
    assert!(bytes >= SNAPSHOT_BYTES, "no snapshot is sent");
    assert!(bytes <= 2 * SNAPSHOT_BYTES, "{bytes} bytes in flight");
    group.set_suspended(silent, false);
    group.run_rounds(ROUNDS);
    group.check_end();
    assert_eq!(group.problems, Vec::<String>::new());
}
