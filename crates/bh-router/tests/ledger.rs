//! Compares the ledger of non-idempotent requests with a simple reference model.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_protocol::request::RequestKey;
use bh_protocol::request::StoredAnswer;
use bh_router::Ledger;
use bh_router::LedgerAnswer;
use bh_router::LedgerCommand;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use std::collections::BTreeMap;
use std::sync::Arc;

const KEYS: usize = 4;

/// The reference model: for each key the attempt and digest it was granted to, and the code of its answer.
#[derive(Clone, Debug, Default)]
struct ReferenceLedger {
    granted: BTreeMap<usize, (u64, u64)>,
    ended: BTreeMap<usize, u32>,
    last_attempt: u64,
}

#[derive(Clone, Debug)]
enum Step {
    Begin {
        key: usize,
        digest: u64,
        attempt: u64,
    },
    End {
        key: usize,
        attempt: u64,
        code: u32,
        bytes: usize,
    },
    Withdraw {
        key: usize,
        attempt: u64,
    },
    Reload,
}

impl ReferenceStateMachine for ReferenceLedger {
    type State = ReferenceLedger;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self::State> {
        Just(ReferenceLedger::default()).boxed()
    }

    fn transitions(state: &Self::State) -> BoxedStrategy<Self::Transition> {
        let next_attempt = state.last_attempt + 1;
        prop_oneof![
            6 => (0..KEYS, 0u64..2, prop_oneof![Just(next_attempt), 1..=next_attempt]).prop_map(|(key, digest, attempt)| Step::Begin { key, digest, attempt }),
            3 => (0..KEYS, 1..=next_attempt, 0u32..2, 0usize..40_000).prop_map(|(key, attempt, code, bytes)| Step::End { key, attempt, code, bytes }),
            2 => (0..KEYS, 1..=next_attempt).prop_map(|(key, attempt)| Step::Withdraw { key, attempt }),
            1 => Just(Step::Reload),
        ]
        .boxed()
    }

    fn apply(mut state: Self::State, step: &Self::Transition) -> Self::State {
        match *step {
            Step::Begin {
                key,
                digest,
                attempt,
            } => {
                state.last_attempt = state.last_attempt.max(attempt);
                state.granted.entry(key).or_insert((attempt, digest));
            }
            Step::End {
                key, attempt, code, ..
            } => {
                if state
                    .granted
                    .get(&key)
                    .is_some_and(|(owner, _)| *owner == attempt)
                {
                    state.ended.entry(key).or_insert(code);
                }
            }
            Step::Withdraw { key, attempt } => {
                let own = state
                    .granted
                    .get(&key)
                    .is_some_and(|(owner, _)| *owner == attempt);
                if own && !state.ended.contains_key(&key) {
                    state.granted.remove(&key);
                }
            }
            Step::Reload => {}
        }
        state
    }
}

struct LedgerTest;

fn key(index: usize) -> RequestKey {
    RequestKey {
        customer: Arc::from("c"),
        key: Arc::from(format!("k{index}")),
    }
}

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Ledger;
    type Reference = ReferenceLedger;

    fn init_test(_: &ReferenceLedger) -> Ledger {
        Ledger::new()
    }

    fn apply(mut ledger: Ledger, after: &ReferenceLedger, step: Step) -> Ledger {
        match step {
            Step::Begin {
                key: index,
                digest,
                attempt,
            } => {
                let answer = ledger.apply(LedgerCommand::Begin {
                    key: key(index),
                    digest,
                    attempt,
                    expires_wall_ms: 5,
                });
                let (owner, owner_digest) = after.granted[&index];
                match after.ended.get(&index) {
                    _ if digest != owner_digest => assert_eq!(answer, LedgerAnswer::KeyReused),
                    Some(code) => assert!(
                        matches!(&answer, LedgerAnswer::Ended(stored) if stored.code == *code),
                        "{answer:?}"
                    ),
                    None if owner == attempt => assert_eq!(answer, LedgerAnswer::Granted),
                    None => assert_eq!(answer, LedgerAnswer::Begun { expires_wall_ms: 5 }),
                }
            }
            Step::End {
                key: index,
                attempt,
                code,
                bytes,
            } => {
                let answer = StoredAnswer {
                    code,
                    body: Some(vec![7; bytes]),
                };
                assert_eq!(
                    ledger.apply(LedgerCommand::End {
                        key: key(index),
                        attempt,
                        answer
                    }),
                    LedgerAnswer::Recorded
                );
            }
            Step::Withdraw {
                key: index,
                attempt,
            } => {
                assert_eq!(
                    ledger.apply(LedgerCommand::Withdraw {
                        key: key(index),
                        attempt
                    }),
                    LedgerAnswer::Recorded
                );
            }
            Step::Reload => {
                let bytes = serde_json::to_vec(&ledger).unwrap();
                ledger = serde_json::from_slice(&bytes).unwrap();
            }
        }
        ledger
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// A key is granted to only one attempt until this attempt withdraws. A resend gets the first answer, also after the ledger was
    /// written to a snapshot and read back.
    #[test]
    fn fuzz_ledger(sequential 1..60 => LedgerTest);
}
