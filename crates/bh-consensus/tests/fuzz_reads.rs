//! Reads under random faults, such as leaders that are suspended and resumed, and an injected bug that the check must detect.

mod support;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use support::ELECTION_MS;
use support::Group;
use support::InjectedBugs;
use support::runner::runner;

/// Number of cases in CI; `scripts/toolkit.sh fuzz` runs more.
const CASES: u32 = 1_000;
const STEPS: usize = 400;
const VOTERS: usize = 3;
const QUIET_ROUNDS: usize = 40;
/// Seed of the runs in CI.
const SEED: u64 = 20_261_203;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Propose(usize),
    Read(usize),
    Suspend(usize),
    Resume(usize),
    Restart(usize),
    Partition(usize),
    Heal(usize),
    LowOnSpace(usize),
    EnoughSpace(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1..ELECTION_MS).prop_map(Step::Advance),
        40 => (0..64usize).prop_map(Step::Deliver),
        3 => (0..64usize).prop_map(Step::Duplicate),
        4 => (0..64usize).prop_map(Step::Drop),
        10 => (0..VOTERS).prop_map(Step::Propose),
        12 => (0..VOTERS).prop_map(Step::Read),
        2 => (0..VOTERS).prop_map(Step::Suspend),
        3 => (0..VOTERS).prop_map(Step::Resume),
        1 => (0..VOTERS).prop_map(Step::Restart),
        1 => (0..VOTERS).prop_map(Step::Partition),
        3 => (0..VOTERS).prop_map(Step::Heal),
    ]
}

/// Steps that also let the disks of voters run low on space.
fn step_with_disks() -> impl Strategy<Value = Step> {
    prop_oneof![
        90 => step(),
        2 => (0..VOTERS).prop_map(Step::LowOnSpace),
        3 => (0..VOTERS).prop_map(Step::EnoughSpace),
    ]
}

fn run(bugs: InjectedBugs, steps: &[Step]) -> Group {
    let mut group = Group::new(VOTERS, bugs);
    group.run_rounds(QUIET_ROUNDS);
    for step in steps {
        match *step {
            Step::Advance(by_ms) => group.advance(by_ms),
            Step::Deliver(position) => group.deliver(position, false),
            Step::Duplicate(position) => group.deliver(position, true),
            Step::Drop(position) => group.drop_message(position),
            Step::Propose(vm) => group.propose(group.leader().unwrap_or(vm)),
            Step::Read(position) => {
                let leaders = group.self_declared_leaders();
                if let Some(vm) = leaders.get(position % leaders.len().max(1)) {
                    group.read(*vm);
                }
            }
            Step::Suspend(vm) => group.set_suspended(vm, true),
            Step::Resume(vm) => group.set_suspended(vm, false),
            Step::Restart(vm) => group.restart(vm),
            Step::Partition(vm) => group.set_partitioned(vm, true),
            Step::Heal(vm) => group.set_partitioned(vm, false),
            Step::LowOnSpace(vm) => group.set_low_on_space(vm, true),
            Step::EnoughSpace(vm) => group.set_low_on_space(vm, false),
        }
    }
    group
}

fn fuzz(
    cases: u32,
    bugs: InjectedBugs,
    step: impl Strategy<Value = Step>,
) -> (Result<(), String>, usize) {
    let mut runner = runner(cases, SEED);
    let answered = std::cell::Cell::new(0);
    let strategy = proptest::collection::vec(step, 1..STEPS);
    let result = runner.run(&strategy, |steps| {
        let group = run(bugs, &steps);
        answered.set(answered.get() + group.reads_answered);
        if group.problems.is_empty() {
            Ok(())
        } else {
            Err(TestCaseError::fail(group.problems.join("; ")))
        }
    });
    (result.map_err(|error| error.to_string()), answered.get())
}

/// A leader is suspended, the others elect a new one, and the old leader resumes with messages that were sent to it before. It must not answer
/// a read from its old state: the answer must include everything that any replica had applied before the read was requested.
#[test]
fn fuzz_reads_hold_all_that_was_applied_before() {
    let (result, answered) = fuzz(CASES, InjectedBugs::default(), step());
    assert_eq!(result, Ok(()));
    assert!(answered > 1_000, "only {answered} reads were answered");
}

/// The same while disks run low on space, so that the lead is handed over.
#[test]
fn fuzz_reads_hold_all_that_was_applied_before_a_hand_over() {
    let (result, answered) = fuzz(2 * CASES, InjectedBugs::default(), step_with_disks());
    assert_eq!(result, Ok(()));
    assert!(answered > 1_000, "only {answered} reads were answered");
}

/// The check detects a leader that answers reads without confirmation by the others.
#[test]
fn fuzz_reads_that_are_not_confirmed_are_caught() {
    let bugs = InjectedBugs {
        skips_read_confirmation: true,
        ..InjectedBugs::default()
    };
    assert!(fuzz(CASES, bugs, step()).0.is_err());
    assert!(fuzz(CASES, bugs, step_with_disks()).0.is_err());
}
