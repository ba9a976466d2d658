//! Replicated state machine of the settings: compare-and-set per subtree, and one outcome per change id.

use crate::Settings;
use crate::token;
use crate::tree::System;
use crate::tree::Team;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::settings::Accepted;
use bh_protocol::settings::Scope;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of outcomes stored to answer resent changes; at 12,000 changes a day they cover more than a day and a half.
pub const MAX_STORED_OUTCOMES: usize = 20_000;

/// A parsed settings change, as it is replicated.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Command {
    /// Id of the change, chosen by the operator's tool.
    pub change_id: Arc<str>,
    /// Revision the change is based on.
    pub base_revision: u64,
    /// Subtree the change replaces.
    pub scope: Scope,
    /// SHA-256 of the operator's token.
    pub token_sha256: Arc<str>,
    /// SHA-256 of the token accepted while the settings name no administrator.
    pub bootstrap_sha256: Option<Arc<str>>,
    /// The new tree; it may contain only the subtree in `scope`.
    pub settings: Settings,
}

/// Result of a change, stored to answer resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Number of the result code; 0 if the change was accepted.
    pub code: u32,
    /// Label of the failure; empty if the change was accepted.
    pub label: String,
    /// Revision created by the change, or the revision in force when it was refused.
    pub revision: u64,
}

impl Outcome {
    /// Converts the outcome to the answer for the operator.
    ///
    /// # Errors
    ///
    /// The refusal, with its result code.
    pub fn into_result(self) -> Result<Accepted, Failure> {
        match Code::from_number(self.code) {
            Some(Code::Done) => Ok(Accepted {
                revision: self.revision,
            }),
            Some(code) => Err(Failure::new(code, self.label)),
            None => Err(Failure::new(Code::Internal, self.label)),
        }
    }
}

/// A stored outcome, with a digest of the change it belongs to.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredOutcome {
    fingerprint: Arc<str>,
    outcome: Outcome,
}

/// The settings state machine. Replicas that apply the same commands in the same order have the same state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Machine {
    /// Revision in force; 0 before the first change.
    pub revision: u64,
    /// Settings in force.
    pub settings: Arc<Settings>,
    team_changed_at: BTreeMap<Arc<str>, u64>,
    answers: BTreeMap<Arc<str>, StoredOutcome>,
    answer_order: VecDeque<Arc<str>>,
}

impl Machine {
    /// Creates a machine with default settings at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one change and returns its outcome.
    ///
    /// A resend of a change returns the stored outcome, also if the change was refused: an operator resends when the
    /// answer was lost, and a change that was refused must not be accepted when it arrives again.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let fingerprint = fingerprint(command);
        if let Some(stored) = self.answers.get(&command.change_id) {
            if stored.fingerprint == fingerprint {
                return stored.outcome.clone();
            }
            return self.refusal(Failure::new(
                Code::KeyReused,
                format!("change id `{}`", command.change_id),
            ));
        }
        let outcome = match self.try_apply(command) {
            Ok(()) => Outcome {
                code: Code::Done.number(),
                label: String::new(),
                revision: self.revision,
            },
            Err(failure) => self.refusal(failure),
        };
        self.store_outcome(
            command.change_id.clone(),
            StoredOutcome {
                fingerprint,
                outcome: outcome.clone(),
            },
        );
        outcome
    }

    fn refusal(&self, failure: Failure) -> Outcome {
        Outcome {
            code: failure.code.number(),
            label: failure.label,
            revision: self.revision,
        }
    }

    /// Stores an outcome and drops the oldest one above [`MAX_STORED_OUTCOMES`].
    fn store_outcome(&mut self, change_id: Arc<str>, stored: StoredOutcome) {
        self.answers.insert(change_id.clone(), stored);
        self.answer_order.push_back(change_id);
        if self.answer_order.len() > MAX_STORED_OUTCOMES
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    fn try_apply(&mut self, command: &Command) -> Result<(), Failure> {
        self.authorize(command)?;
        self.check_base(command)?;
        let next = self.next_settings(command)?;
        next.check()?;
        self.revision += 1;
        self.record_changed_teams(command);
        self.settings = Arc::new(next);
        Ok(())
    }

    /// Checks the token against the settings in force at this log position, so that a token revoked by a concurrent
    /// change cannot be used after that change.
    fn authorize(&self, command: &Command) -> Result<(), Failure> {
        let administrators = &self.settings.system.administrator_tokens_sha256;
        let bootstrap: Vec<Arc<str>> = command.bootstrap_sha256.iter().cloned().collect();
        let allowed = if administrators.is_empty() {
            &bootstrap
        } else {
            administrators
        };
        if token::is_among(&command.token_sha256, allowed) {
            return Ok(());
        }
        match &command.scope {
            Scope::All => Err(Failure::new(
                Code::Forbidden,
                "the whole tree; an administrator's token is needed",
            )),
            Scope::Team(name) => {
                let own = self
                    .settings
                    .teams
                    .get(name)
                    .map_or(&[][..], |team| &team.operator_tokens_sha256);
                if token::is_among(&command.token_sha256, own) {
                    Ok(())
                } else {
                    Err(Failure::new(
                        Code::Forbidden,
                        format!("the subtree of team `{name}`"),
                    ))
                }
            }
        }
    }

    /// Refuses the change if its subtree has changed since the revision it is based on.
    fn check_base(&self, command: &Command) -> Result<(), Failure> {
        let changed_at = match &command.scope {
            Scope::All => self.revision,
            Scope::Team(name) => self.team_changed_at.get(name).copied().unwrap_or(0),
        };
        if command.base_revision < changed_at || command.base_revision > self.revision {
            let label = format!(
                "made against revision {}; the subtree last changed at revision {changed_at}, and {} is in force",
                command.base_revision, self.revision
            );
            return Err(Failure::new(Code::RevisionConflict, label));
        }
        Ok(())
    }

    /// The settings after the change; refuses a change that reaches outside of its scope.
    fn next_settings(&self, command: &Command) -> Result<Settings, Failure> {
        match &command.scope {
            Scope::All => Ok(command.settings.clone()),
            Scope::Team(name) => {
                let others = command.settings.teams.keys().find(|team| *team != name);
                if let Some(other) = others {
                    return Err(Failure::new(
                        Code::Forbidden,
                        format!("team `{other}` is outside of the subtree of `{name}`"),
                    ));
                }
                if command.settings.system != System::default() {
                    return Err(Failure::new(
                        Code::Forbidden,
                        "`system` is outside of the team's subtree",
                    ));
                }
                let mut next = (*self.settings).clone();
                match command.settings.teams.get(name) {
                    Some(team) => next.teams.insert(name.clone(), team.clone()),
                    None => next.teams.remove(name),
                };
                Ok(next)
            }
        }
    }

    /// Stores the new revision for each team that the change affects.
    fn record_changed_teams(&mut self, command: &Command) {
        match &command.scope {
            Scope::Team(name) => {
                self.team_changed_at.insert(name.clone(), self.revision);
            }
            Scope::All => {
                let old: Vec<Arc<str>> = self.settings.teams.keys().cloned().collect();
                let new: Vec<Arc<str>> = command.settings.teams.keys().cloned().collect();
                for name in old.into_iter().chain(new) {
                    let is_same =
                        team_of(&self.settings, &name) == team_of(&command.settings, &name);
                    if !is_same {
                        self.team_changed_at.insert(name, self.revision);
                    }
                }
            }
        }
    }
}

fn team_of<'a>(settings: &'a Settings, name: &str) -> Option<&'a Team> {
    settings.teams.get(name)
}

/// Digest of the content of a change, to tell a resend from another change with the same id.
fn fingerprint(command: &Command) -> Arc<str> {
    let text = serde_json::to_string(&(command.base_revision, &command.scope, &command.settings))
        .unwrap_or_default();
    token::digest(&text)
}
