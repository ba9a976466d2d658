//! Reads under random faults, leaders that are suspended and wake among them, and a planted fault that the check must catch.

mod support;

use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use support::ELECTION_MS;
use support::Group;
use support::Planted;
use support::runner::runner;

/// Cases in CI; `scripts/toolkit.sh fuzz` asks for more.
const CASES: u32 = 1_000;
const STEPS: usize = 400;
const VOTERS: usize = 3;
const CALM_ROUNDS: usize = 40;
/// Seed of the runs in CI.
const SEED: u64 = 20_261_203;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Deliver(usize),
    Repeat(usize),
    Drop(usize),
    Propose(usize),
    Read(usize),
    Freeze(usize),
    Thaw(usize),
    Restart(usize),
    Cut(usize),
    Mend(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (1..ELECTION_MS).prop_map(Step::Advance),
        40 => (0..64usize).prop_map(Step::Deliver),
        3 => (0..64usize).prop_map(Step::Repeat),
        4 => (0..64usize).prop_map(Step::Drop),
        10 => (0..VOTERS).prop_map(Step::Propose),
        12 => (0..VOTERS).prop_map(Step::Read),
        2 => (0..VOTERS).prop_map(Step::Freeze),
        3 => (0..VOTERS).prop_map(Step::Thaw),
        1 => (0..VOTERS).prop_map(Step::Restart),
        1 => (0..VOTERS).prop_map(Step::Cut),
        3 => (0..VOTERS).prop_map(Step::Mend),
    ]
}

fn run(planted: Planted, steps: &[Step]) -> Group {
    let mut group = Group::new(VOTERS, planted);
    group.calm(CALM_ROUNDS);
    for step in steps {
        match *step {
            Step::Advance(by_ms) => group.advance(by_ms),
            Step::Deliver(place) => group.deliver(place, false),
            Step::Repeat(place) => group.deliver(place, true),
            Step::Drop(place) => group.drop_message(place),
            Step::Propose(vm) => group.propose(group.leader().unwrap_or(vm)),
            Step::Read(place) => {
                let leaders = group.would_be_leaders();
                if let Some(vm) = leaders.get(place % leaders.len().max(1)) {
                    group.read(*vm);
                }
            }
            Step::Freeze(vm) => group.set_frozen(vm, true),
            Step::Thaw(vm) => group.set_frozen(vm, false),
            Step::Restart(vm) => group.restart(vm),
            Step::Cut(vm) => group.set_cut(vm, true),
            Step::Mend(vm) => group.set_cut(vm, false),
        }
    }
    group
}

fn fuzz(cases: u32, planted: Planted) -> (Result<(), String>, usize) {
    let mut runner = runner(cases, SEED);
    let answered = std::cell::Cell::new(0);
    let strategy = proptest::collection::vec(step(), 1..STEPS);
    let result = runner.run(&strategy, |steps| {
        let group = run(planted, &steps);
        answered.set(answered.get() + group.reads_answered);
        if group.problems.is_empty() {
            Ok(())
        } else {
            Err(TestCaseError::fail(group.problems.join("; ")))
        }
    });
    (result.map_err(|error| error.to_string()), answered.get())
}

/// A leader is suspended, others elect a new one and go on, and the old one wakes among messages that were sent to it before. A caller that
/// asks it must not be answered as of its old state: whatever anybody has applied before a read is asked for must be in the answer.
#[test]
fn fuzz_reads_hold_all_that_was_applied_before() {
    let (result, answered) = fuzz(CASES, Planted::default());
    assert_eq!(result, Ok(()));
    assert!(answered > 1_000, "only {answered} reads were answered");
}

/// A leader that answers reads without asking the others is caught.
#[test]
fn fuzz_reads_that_are_not_confirmed_are_caught() {
    let planted = Planted {
        reads_at_once: true,
        ..Planted::default()
    };
    assert!(fuzz(CASES, planted).0.is_err());
}
