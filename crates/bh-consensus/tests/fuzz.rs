//! Random faults against the replicated log, and injected bugs that the checks must detect.

mod support;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use support::ELECTION_MS;
use support::Group;
use support::InjectedBugs;
use support::runner::runner;

/// Number of cases in CI; `scripts/toolkit.sh fuzz` runs more.
const CASES: u32 = 1_000;
const STEPS: usize = 400;
/// Voters of the small group.
const VOTERS: usize = 3;
const QUIET_ROUNDS: usize = 200;
/// Seed of the runs in CI.
const SEED: u64 = 20_261_202;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Propose(usize),
    Kill(usize),
    Start(usize),
    Restart(usize),
    LoseDisk(usize),
    Partition(usize),
    Heal(usize),
    Snapshot(usize),
    LowOnSpace(usize),
    EnoughSpace(usize),
}

fn step(vms: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1..ELECTION_MS).prop_map(Step::Advance),
        40 => (0..64usize).prop_map(Step::Deliver),
        3 => (0..64usize).prop_map(Step::Duplicate),
        6 => (0..64usize).prop_map(Step::Drop),
        12 => (0..vms).prop_map(Step::Propose),
        2 => (0..vms).prop_map(Step::Kill),
        4 => (0..vms).prop_map(Step::Start),
        3 => (0..vms).prop_map(Step::Restart),
        1 => (0..vms).prop_map(Step::LoseDisk),
        1 => (0..vms).prop_map(Step::Partition),
        3 => (0..vms).prop_map(Step::Heal),
        2 => (0..vms).prop_map(Step::Snapshot),
        1 => (0..vms).prop_map(Step::LowOnSpace),
        2 => (0..vms).prop_map(Step::EnoughSpace),
    ]
}

/// Whether the group must survive the loss of this VM's disk: only if the other live voters are a majority.
fn may_lose_disk(group: &Group, vm: usize) -> bool {
    let (voters, live) = group.live_voters();
    group.is_running(vm) && group.running() > 1 && live > voters / 2 + 1 && voters >= 3
}

fn run(mut group: Group, vms: usize, steps: &[Step]) -> Group {
    for step in steps {
        match *step {
            Step::Advance(by_ms) => group.advance(by_ms),
            Step::Deliver(position) => group.deliver(position, false),
            Step::Duplicate(position) => group.deliver(position, true),
            Step::Drop(position) => group.drop_message(position),
            Step::Propose(vm) => {
                let target = if vm % 2 == 0 {
                    group.leader().unwrap_or(vm)
                } else {
                    vm
                };
                group.propose(target);
            }
            Step::Kill(vm) => group.kill(vm),
            Step::Start(vm) => group.start(vm),
            Step::Restart(vm) => group.restart(vm),
            Step::LoseDisk(vm) if may_lose_disk(&group, vm) => {
                group.lose_disk(vm);
                group.start(vm);
                // The VM needs the others to recover. Until it has, the loss of a second disk may lose acknowledged entries.
                for other in 0..vms {
                    group.set_partitioned(other, false);
                    group.start(other);
                }
                group.run_rounds(QUIET_ROUNDS / 2);
            }
            Step::LoseDisk(_) => {}
            Step::Partition(vm) => group.set_partitioned(vm, true),
            Step::Heal(vm) => group.set_partitioned(vm, false),
            Step::Snapshot(vm) if group.is_running(vm) => group.snapshot(vm),
            Step::Snapshot(_) => {}
            Step::LowOnSpace(vm) => group.set_low_on_space(vm, true),
            Step::EnoughSpace(vm) => group.set_low_on_space(vm, false),
        }
    }
    for vm in 0..vms {
        group.set_partitioned(vm, false);
        group.start(vm);
    }
    group.run_rounds(QUIET_ROUNDS);
    let before = group.acknowledged.len();
    if let Some(leader) = group.leader() {
        group.propose(leader);
        group.run_rounds(QUIET_ROUNDS / 4);
    }
    if group.acknowledged.len() == before {
        group
            .problems
            .push("no progress after all faults had ended".to_owned());
    }
    group.check_end();
    group
}

fn check_group(vms: usize, new_group: impl Fn() -> Group) {
    let strategy = proptest::collection::vec(step(vms), 1..STEPS);
    let result = runner(CASES, SEED).run(&strategy, |steps| {
        let group = run(new_group(), vms, &steps);
        if group.problems.is_empty() {
            Ok(())
        } else {
            Err(TestCaseError::fail(group.problems.join("; ")))
        }
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Whether the checks detect these injected bugs in some run.
fn is_detected(bugs: InjectedBugs) -> bool {
    is_detected_by(
        proptest::collection::vec(step(VOTERS), 100..STEPS * 2),
        bugs,
    )
}

fn is_detected_by(strategy: impl Strategy<Value = Vec<Step>>, bugs: InjectedBugs) -> bool {
    let runs = TestRunner::new(Config {
        max_shrink_iters: 0,
        ..runner(2_000, SEED).config().clone()
    });
    let mut runs = runs;
    let result = runs.run(&strategy, |steps| {
        let group = run(Group::new(VOTERS, bugs), VOTERS, &steps);
        if group.problems.is_empty() {
            Ok(())
        } else {
            Err(TestCaseError::fail(group.problems.join("; ")))
        }
    });
    result.is_err()
}

/// Three voters. Messages are lost, duplicated and reordered; VMs crash, are partitioned and lose their disks. At the end every state must
/// hold what proposers were told is committed, and all states must be equal.
#[test]
fn fuzz_three_voters() {
    check_group(VOTERS, || Group::new(VOTERS, InjectedBugs::default()));
}

/// The same with five voters, of which two may be unavailable at a time.
#[test]
fn fuzz_five_voters() {
    check_group(5, || Group::new(5, InjectedBugs::default()));
}

/// The same with three voters out of four VMs: the fourth VM replaces a silent voter, which must be able to become a voter again later.
#[test]
fn fuzz_three_voters_of_four() {
    check_group(4, || Group::with_voters(4, VOTERS));
}

/// Groups in which the observers outnumber the voters.
#[test]
fn fuzz_many_observers() {
    check_group(8, || Group::with_voters(8, VOTERS));
}

/// A voter that loses its vote over a restart votes twice in a term, so that two leaders are elected. The steps are only those of elections:
/// two VMs must be candidates in the same term while the third restarts between their requests for its vote.
#[test]
fn forgotten_votes_are_caught() {
    let election = prop_oneof![
        3 => (1..ELECTION_MS).prop_map(Step::Advance),
        12 => (0..8usize).prop_map(Step::Deliver),
        4 => (0..3usize).prop_map(Step::Restart),
    ];
    let strategy = proptest::collection::vec(election, 50..200);
    assert!(is_detected_by(
        strategy,
        InjectedBugs {
            loses_votes: true,
            ..InjectedBugs::default()
        }
    ));
}

/// A voter that acknowledges entries before it has saved them lets the leader commit entries that no majority holds. When the leader crashes,
/// an entry is lost whose proposer was told that it is committed.
#[test]
fn forgotten_entries_are_caught() {
    assert!(is_detected(InjectedBugs {
        loses_entries: true,
        ..InjectedBugs::default()
    }));
}

/// A voter that lost its disk and still votes under its old identity can elect a leader that lacks entries which this voter acknowledged, so
/// that they are lost.
#[test]
fn an_emptied_voter_under_its_old_identity_is_caught() {
    assert!(is_detected(InjectedBugs {
        keeps_identity_without_disk: true,
        ..InjectedBugs::default()
    }));
}

/// The driver flushes after each message. That must not make the leader of an idle group respond to every answer with another append: with
/// that fault each process used two thirds of a core and sent megabytes a second.
#[test]
fn an_idle_group_sends_only_heartbeats() {
    let mut group = Group::new(VOTERS, InjectedBugs::default());
    group.run_rounds(QUIET_ROUNDS);
    let before = group.sent;
    const HEARTBEATS: usize = 100;
    for _ in 0..HEARTBEATS {
        group.advance(support::HEARTBEAT_MS);
        for _ in 0..50 {
            group.deliver(0, false);
        }
    }
    let sent = group.sent - before;
    // An append and its answer for each of two followers, and some messages of a round that was in flight.
    assert!(
        sent <= HEARTBEATS * 2 * 2 + 10,
        "{sent} messages in {HEARTBEATS} heartbeats"
    );
}
