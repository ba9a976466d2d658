//! Fuzz test of target ownership with random faults: no target ever has more requests in progress than slots.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_membership::Claims;
use bh_membership::Grant;
use bh_membership::OwnedTargets;
use bh_membership::Registry;
use bh_protocol::target::Announcement;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRunner;
use std::collections::BTreeMap;
use std::sync::Arc;

const CASES: u32 = 5_000;
const ENTRIES: usize = 3;
const TARGETS: usize = 3;
const SLOTS: u32 = 2;
const LEASE_MS: u64 = 1_000;
const OVERLAP_MS: u64 = 200;
/// Time from a renewal until its answer arrives.
const DELAY_MS: u64 = 60;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Renew(usize),
    Announce(usize),
    Send(usize, usize),
    Finish(usize),
    Freeze(usize),
    Kill(usize),
    ChangeLeader,
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (1u64..400).prop_map(Step::Advance),
        10 => (0..ENTRIES).prop_map(Step::Renew),
        6 => (0..TARGETS).prop_map(Step::Announce),
        20 => (0..ENTRIES, 0..TARGETS).prop_map(|(e, t)| Step::Send(e, t)),
        6 => (0..64usize).prop_map(Step::Finish),
        1 => (0..ENTRIES).prop_map(Step::Freeze),
        1 => (0..ENTRIES).prop_map(Step::Kill),
        1 => Just(Step::ChangeLeader),
        1 => (0..TARGETS).prop_map(Step::Leave),
    ]
}

/// Faults to inject, which the check must detect.
#[derive(Clone, Copy, Default)]
struct InjectedFaults {
    /// A new leader grants targets at once instead of waiting for the end of the previous leader's leases.
    no_grace: bool,
    /// An entry counts its lease from the arrival of the answer instead of the time it sent the renewal.
    lease_from_answer: bool,
}

struct System {
    now_ms: u64,
    terms: u64,
    registry: Registry,
    entries: Vec<OwnedTargets>,
    incarnations: Vec<u64>,
    frozen: Vec<Option<(u64, u64, Grant)>>,
    /// Requests in progress on targets, as entry, the entry's incarnation and target.
    in_progress: Vec<(usize, u64, usize)>,
    faults: InjectedFaults,
    problems: Vec<String>,
}

fn entry_name(index: usize) -> Arc<str> {
    Arc::from(format!("e{index}"))
}

fn target_name(index: usize) -> Arc<str> {
    Arc::from(format!("t{index}"))
}

impl System {
    fn new(faults: InjectedFaults) -> Self {
        let mut system = Self {
            now_ms: 10_000,
            terms: 1,
            registry: Registry::new(1, 0, LEASE_MS, LEASE_MS, OVERLAP_MS),
            entries: (0..ENTRIES)
                .map(|index| OwnedTargets::new(entry_name(index), 1))
                .collect(),
            incarnations: vec![1; ENTRIES],
            frozen: vec![None; ENTRIES],
            in_progress: Vec::new(),
            faults,
            problems: Vec::new(),
        };
        for target in 0..TARGETS {
            system.announce(target, false);
        }
        system
    }

    fn announce(&mut self, target: usize, leaving: bool) {
        let busy = self
            .in_progress
            .iter()
            .filter(|(_, _, t)| *t == target)
            .count();
        let announcement = Announcement {
            name: target_name(target),
            incarnation: 1,
            data_centre: Arc::from("a"),
            rack: Arc::from("r"),
            address: Arc::from("127.0.0.1:1"),
            cores: 1,
            memory_mib: 1,
            accelerators: 1,
            slots: SLOTS,
            connections: 64,
            busy_slots: u32::try_from(busy).unwrap(),
            leaving,
            tasks: Vec::new(),
        };
        self.registry.announce(self.now_ms, announcement);
    }

    /// Renews an entry's lease. The answer arrives later; if the entry freezes, it handles the answer only when it resumes.
    fn renew(&mut self, entry: usize, frozen: bool) {
        if let Some((sent_ms, resumed_ms, grant)) = self.frozen[entry].take() {
            if self.now_ms < resumed_ms {
                self.frozen[entry] = Some((sent_ms, resumed_ms, grant));
                return;
            }
            self.accept(entry, sent_ms, grant);
        }
        let sent_ms = self.now_ms;
        let claims: Claims = self.entries[entry].claims(sent_ms, false);
        self.now_ms += DELAY_MS / 2;
        let grant = self.registry.renew(self.now_ms, claims);
        if frozen {
            self.frozen[entry] = Some((sent_ms, self.now_ms + 2 * LEASE_MS, grant));
            return;
        }
        self.now_ms += DELAY_MS / 2;
        self.accept(entry, sent_ms, grant);
    }

    fn accept(&mut self, entry: usize, sent_ms: u64, grant: Grant) {
        let counted_from = if self.faults.lease_from_answer {
            self.now_ms
        } else {
            sent_ms
        };
        self.entries[entry].accept(counted_from, grant);
    }

    fn send(&mut self, entry: usize, target: usize) {
        if self.frozen[entry]
            .as_ref()
            .is_some_and(|(_, resumed_ms, _)| self.now_ms < *resumed_ms)
        {
            return;
        }
        if self.entries[entry].take_slot(self.now_ms, &target_name(target)) {
            self.in_progress
                .push((entry, self.incarnations[entry], target));
            let count = self
                .in_progress
                .iter()
                .filter(|(_, _, t)| *t == target)
                .count();
            if count > SLOTS as usize {
                self.problems.push(format!(
                    "target {target} has {count} requests at {} ms",
                    self.now_ms
                ));
            }
        }
    }

    fn finish(&mut self, index: usize) {
        if self.in_progress.is_empty() {
            return;
        }
        let index = index % self.in_progress.len();
        let (entry, incarnation, target) = self.in_progress.remove(index);
        if incarnation == self.incarnations[entry] {
            self.entries[entry].release_slot(&target_name(target));
        }
    }

    fn kill(&mut self, entry: usize) {
        self.incarnations[entry] += 1;
        self.entries[entry] = OwnedTargets::new(entry_name(entry), self.incarnations[entry]);
        self.frozen[entry] = None;
    }

    fn change_leader(&mut self) {
        self.now_ms += 300;
        self.terms += 1;
        let (lease_ms, overlap_ms) = if self.faults.no_grace {
            (0, 0)
        } else {
            (LEASE_MS, OVERLAP_MS)
        };
        self.registry = Registry::new(self.terms, self.now_ms, LEASE_MS, lease_ms, overlap_ms);
        if self.faults.no_grace {
            self.registry = Registry::new(
                self.terms,
                self.now_ms.saturating_sub(LEASE_MS + OVERLAP_MS),
                LEASE_MS,
                LEASE_MS,
                OVERLAP_MS,
            );
        }
        for target in 0..TARGETS {
            self.announce(target, false);
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.now_ms += ms,
            Step::Renew(entry) => self.renew(entry, false),
            Step::Announce(target) => self.announce(target, false),
            Step::Send(entry, target) => self.send(entry, target),
            Step::Finish(index) => self.finish(index),
            Step::Freeze(entry) => self.renew(entry, true),
            Step::Kill(entry) => self.kill(entry),
            Step::ChangeLeader => self.change_leader(),
            Step::Leave(target) => self.announce(target, true),
        }
    }
}

fn run(steps: &[Step], faults: InjectedFaults) -> System {
    let mut system = System::new(faults);
    for step in steps {
        system.apply(step);
    }
    system
}

fn search(cases: u32, faults: InjectedFaults) -> Result<(), String> {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(cases);
    let seed = std::env::var("PROPTEST_RNG_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_202);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    });
    runner
        .run(&proptest::collection::vec(step(), 1..300), |steps| {
            let system = run(&steps, faults);
            if system.problems.is_empty() {
                Ok(())
            } else {
                Err(TestCaseError::fail(system.problems.join("; ")))
            }
        })
        .map_err(|error| error.to_string())
}

/// Entries renew, freeze, crash and restart, leaders change, and targets report with a lag. No target ever has more requests
/// in progress than slots, over all entries together.
#[test]
fn fuzz_slots_hold() {
    if let Err(problem) = search(CASES, InjectedFaults::default()) {
        panic!("{problem}");
    }
}

/// A leader that grants targets before the previous leader's leases have ended gives a target two owners.
#[test]
fn a_leader_without_grace_is_caught() {
    assert!(
        search(
            3_000,
            InjectedFaults {
                no_grace: true,
                ..InjectedFaults::default()
            }
        )
        .is_err()
    );
}

/// An entry that was frozen while the answer was on its way, and that counts its lease from the arrival of the answer,
/// continues to use a target that another entry owns by then.
#[test]
fn a_lease_counted_from_the_answer_is_caught() {
    assert!(
        search(
            3_000,
            InjectedFaults {
                lease_from_answer: true,
                ..InjectedFaults::default()
            }
        )
        .is_err()
    );
}

/// Targets are distributed evenly: a second entry gets its share of the targets that the first entry owned.
#[test]
fn targets_move_to_a_new_entry() {
    let mut system = System::new(InjectedFaults::default());
    let mut owned = BTreeMap::new();
    for _ in 0..40 {
        system.now_ms += 100;
        for target in 0..TARGETS {
            system.announce(target, false);
        }
        for entry in 0..2 {
            system.renew(entry, false);
            owned.insert(entry, system.entries[entry].usable(system.now_ms).count());
        }
    }
    assert_eq!(owned.values().sum::<usize>(), TARGETS);
    assert!(owned.values().all(|count| *count >= 1), "{owned:?}");
}

/// A target's lease expires while an entry renews. The leader must still learn that the target is lost, because the target's
/// gangs would otherwise wait for it forever.
#[test]
fn a_renewal_does_not_swallow_a_lost_target() {
    let mut system = System::new(InjectedFaults::default());
    system.now_ms += LEASE_MS + 1;
    system.renew(0, false);
    let mut expired_targets = system.registry.take_expired_targets(system.now_ms);
    expired_targets.sort();
    assert_eq!(
        expired_targets,
        (0..TARGETS).map(target_name).collect::<Vec<_>>()
    );
    assert!(
        system
            .registry
            .take_expired_targets(system.now_ms)
            .is_empty()
    );
}
