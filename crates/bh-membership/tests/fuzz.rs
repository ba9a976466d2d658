//! Random faults against the ownership of targets: whatever happens, no target has more requests at a time than slots.
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
/// Time a message takes at most, in milliseconds.
const DELAY_MS: u64 = 60;

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
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
        10 => (1u64..400).prop_map(Step::Pass),
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

/// A planted fault, to see the check catch it.
#[derive(Clone, Copy, Default)]
struct Planted {
    /// A new leader grants at once instead of waiting for the leases of the one before it.
    no_grace: bool,
    /// An entry counts its lease from when the answer arrives.
    late_lease: bool,
}

struct System {
    now_ms: u64,
    terms: u64,
    registry: Registry,
    entries: Vec<OwnedTargets>,
    incarnations: Vec<u64>,
    frozen: Vec<Option<(u64, u64, Grant)>>,
    /// Requests in progress on targets: entry, its incarnation, target.
    in_progress: Vec<(usize, u64, usize)>,
    planted: Planted,
    problems: Vec<String>,
}

fn entry_name(index: usize) -> Arc<str> {
    Arc::from(format!("e{index}"))
}

fn target_name(index: usize) -> Arc<str> {
    Arc::from(format!("t{index}"))
}

impl System {
    fn new(planted: Planted) -> Self {
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
            planted,
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

    /// An entry renews. The answer arrives later; a frozen entry gets it only when it wakes up.
    fn renew(&mut self, entry: usize, frozen: bool) {
        if let Some((sent_ms, woken_ms, grant)) = self.frozen[entry].take() {
            if self.now_ms < woken_ms {
                self.frozen[entry] = Some((sent_ms, woken_ms, grant));
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
        let counted_from = if self.planted.late_lease {
            self.now_ms
        } else {
            sent_ms
        };
        self.entries[entry].accept(counted_from, grant);
    }

    fn send(&mut self, entry: usize, target: usize) {
        if self.frozen[entry]
            .as_ref()
            .is_some_and(|(_, woken_ms, _)| self.now_ms < *woken_ms)
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

    fn finish(&mut self, place: usize) {
        if self.in_progress.is_empty() {
            return;
        }
        let place = place % self.in_progress.len();
        let (entry, incarnation, target) = self.in_progress.remove(place);
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
        let (lease_ms, overlap_ms) = if self.planted.no_grace {
            (0, 0)
        } else {
            (LEASE_MS, OVERLAP_MS)
        };
        self.registry = Registry::new(self.terms, self.now_ms, LEASE_MS, lease_ms, overlap_ms);
        if self.planted.no_grace {
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
            Step::Pass(ms) => self.now_ms += ms,
            Step::Renew(entry) => self.renew(entry, false),
            Step::Announce(target) => self.announce(target, false),
            Step::Send(entry, target) => self.send(entry, target),
            Step::Finish(place) => self.finish(place),
            Step::Freeze(entry) => self.renew(entry, true),
            Step::Kill(entry) => self.kill(entry),
            Step::ChangeLeader => self.change_leader(),
            Step::Leave(target) => self.announce(target, true),
        }
    }
}

fn run(steps: &[Step], planted: Planted) -> System {
    let mut system = System::new(planted);
    for step in steps {
        system.apply(step);
    }
    system
}

fn search(cases: u32, planted: Planted) -> Result<(), String> {
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
            let system = run(&steps, planted);
            if system.problems.is_empty() {
                Ok(())
            } else {
                Err(TestCaseError::fail(system.problems.join("; ")))
            }
        })
        .map_err(|error| error.to_string())
}

/// Entries renew, freeze, die and come back; leaders change; targets report with a lag. No target ever has more requests
/// in progress than slots, over all entries together.
#[test]
fn fuzz_slots_hold() {
    if let Err(problem) = search(CASES, Planted::default()) {
        panic!("{problem}");
    }
}

/// A leader that grants targets before the leases of its predecessor have ended gives one target two owners.
#[test]
fn a_leader_without_grace_is_caught() {
    assert!(
        search(
            3_000,
            Planted {
                no_grace: true,
                ..Planted::default()
            }
        )
        .is_err()
    );
}

/// An entry that was frozen while the answer was on its way, and counts its lease from the answer, goes on using a
/// target that was given to another.
#[test]
fn a_lease_counted_from_the_answer_is_caught() {
    assert!(
        search(
            3_000,
            Planted {
                late_lease: true,
                ..Planted::default()
            }
        )
        .is_err()
    );
}

/// Targets are shared out evenly, and a second entry gets its share of those that the first one had.
#[test]
fn targets_move_to_a_new_entry() {
    let mut system = System::new(Planted::default());
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

/// A target's lease lapses just as an entry renews. The leader still hears that it is gone: its gangs would otherwise
/// wait for it for ever.
#[test]
fn a_renewal_does_not_swallow_a_lost_target() {
    let mut system = System::new(Planted::default());
    system.now_ms += LEASE_MS + 1;
    system.renew(0, false);
    let mut gone = system.registry.take_expired_targets(system.now_ms);
    gone.sort();
    assert_eq!(gone, (0..TARGETS).map(target_name).collect::<Vec<_>>());
    assert!(
        system
            .registry
            .take_expired_targets(system.now_ms)
            .is_empty()
    );
}
