//! Compares the settings state machine with a simple reference model: concurrent operators, resends and subtrees.
#![expect(
    clippy::unwrap_used,
    reason = "a test that meets the unexpected shall end"
)]

use bh_protocol::Code;
use bh_protocol::settings::Scope;
use bh_settings::Machine;
use bh_settings::Settings;
use bh_settings::machine::Command;
use bh_settings::token;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use std::collections::BTreeMap;
use std::sync::Arc;

const TEAMS: [&str; 3] = ["mill", "dairy", "press"];

/// Reference model: the quota of each team, the revision of its last change, and the outcome of each change id.
#[derive(Clone, Debug, Default)]
struct Model {
    revision: u64,
    quota: BTreeMap<usize, u32>,
    changed_at: BTreeMap<usize, u64>,
    outcomes: BTreeMap<u32, (Step, u32, u64)>,
    last_outcome: (u32, u64),
}

#[derive(Clone, Debug, PartialEq)]
struct Step {
    id: u32,
    team: usize,
    base: u64,
    quota: u32,
    own_token: bool,
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(state: &Model) -> BoxedStrategy<Step> {
        let newest = state.revision;
        let base = prop_oneof![4 => Just(newest), 2 => newest.saturating_sub(3)..=newest, 1 => Just(newest + 1)];
        (
            0u32..40,
            0..TEAMS.len(),
            base,
            1u32..100,
            prop::bool::weighted(0.9),
        )
            .prop_map(|(id, team, base, quota, own_token)| Step {
                id,
                team,
                base,
                quota,
                own_token,
            })
            .boxed()
    }

    fn apply(mut state: Model, step: &Step) -> Model {
        if let Some((first, code, revision)) = state.outcomes.get(&step.id).cloned() {
            let same = (first.team, first.base, first.quota) == (step.team, step.base, step.quota);
            state.last_outcome = if same {
                (code, revision)
            } else {
                (Code::KeyReused.number(), state.revision)
            };
            return state;
        }
        let changed_at = state.changed_at.get(&step.team).copied().unwrap_or(0);
        let code = if !step.own_token {
            Code::Forbidden
        } else if step.base < changed_at || step.base > state.revision {
            Code::RevisionConflict
        } else {
            Code::Done
        };
        if code == Code::Done {
            state.revision += 1;
            state.quota.insert(step.team, step.quota);
            state.changed_at.insert(step.team, state.revision);
        }
        state.last_outcome = (code.number(), state.revision);
        state
            .outcomes
            .insert(step.id, (step.clone(), code.number(), state.revision));
        state
    }
}

struct MachineTest;

fn command(step: &Step) -> Command {
    let name = TEAMS[step.team];
    let yaml = format!("teams: {{{name}: {{quota_accelerators: {}}}}}", step.quota);
    let token = if step.own_token {
        "administrator"
    } else {
        "stranger"
    };
    Command {
        change_id: Arc::from(format!("c{}", step.id)),
        base_revision: step.base,
        scope: Scope::Team(Arc::from(name)),
        token_sha256: token::digest(token),
        bootstrap_sha256: Some(token::digest("administrator")),
        settings: Settings::parse("step", yaml.as_bytes()).unwrap(),
    }
}

impl StateMachineTest for MachineTest {
    type SystemUnderTest = Machine;
    type Reference = Model;

    fn init_test(_: &Model) -> Machine {
        Machine::new()
    }

    fn apply(mut machine: Machine, model: &Model, step: Step) -> Machine {
        let outcome = machine.apply(&command(&step));
        assert_eq!(
            (outcome.code, outcome.revision),
            model.last_outcome,
            "{step:?}"
        );
        assert_eq!(machine.revision, model.revision);
        for (team, quota) in &model.quota {
            assert_eq!(
                machine.settings.teams[TEAMS[*team]].quota_accelerators,
                *quota
            );
        }
        // Saving and restoring a snapshot between steps must change nothing.
        let bytes = serde_json::to_vec(&machine).unwrap();
        serde_json::from_slice(&bytes).unwrap()
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202), ..ProptestConfig::default() })]

    /// Of concurrent changes to one subtree only the first is accepted, changes of different teams don't conflict, and a
    /// resend gets the first outcome, also if that was a refusal.
    #[test]
    fn fuzz_machine(sequential 1..80 => MachineTest);
}
