//! The replicated settings: compare-and-set by subtree, and one answer for each change.

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

/// Answers of changes that are kept for resends. At 12,000 changes a day that is more than a day and a half.
pub const ANSWERS_KEPT: usize = 20_000;

/// A settings change as replicated, already parsed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Command {
    /// The operator's id of the change.
    pub change_id: Arc<str>,
    /// Revision it was made against.
    pub base_revision: u64,
    /// Subtree it replaces.
    pub scope: Scope,
    /// SHA-256 of the operator's token.
    pub token_sha256: Arc<str>,
    /// SHA-256 of the token accepted while the settings name no administrator.
    pub bootstrap_sha256: Option<Arc<str>>,
    /// The new tree; only the part in scope counts.
    pub settings: Settings,
}

/// Answer to a change, kept for its resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Number of the result code; 0 when accepted.
    pub code: u32,
    /// Label of a refusal.
    pub label: String,
    /// Revision that carries the change, or the revision in force at the refusal.
    pub revision: u64,
}

impl Outcome {
    /// The outcome as the caller sees it.
    ///
    /// # Errors
    ///
    /// The refusal, with its numbered code.
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

/// A kept answer, with what it answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Kept {
    fingerprint: Arc<str>,
    outcome: Outcome,
}

/// The settings state machine. Replicas that apply the same commands in the same order are equal.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Machine {
    /// Revision in force; 0 before the first change.
    pub revision: u64,
    /// The tree in force.
    pub settings: Arc<Settings>,
    team_changed_at: BTreeMap<Arc<str>, u64>,
    answers: BTreeMap<Arc<str>, Kept>,
    answer_order: VecDeque<Arc<str>>,
}

impl Machine {
    /// A machine with no settings at revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one change and returns its answer.
    ///
    /// A change id that was answered before gets the first answer again, whatever it was: an operator whose
    /// answer was lost resends, and a refused change that arrives twice must not be accepted the second time.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let fingerprint = fingerprint(command);
        if let Some(kept) = self.answers.get(&command.change_id) {
            if kept.fingerprint == fingerprint {
                return kept.outcome.clone();
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
        self.keep(
            command.change_id.clone(),
            Kept {
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

    fn keep(&mut self, change_id: Arc<str>, kept: Kept) {
        self.answers.insert(change_id.clone(), kept);
        self.answer_order.push_back(change_id);
        if self.answer_order.len() > ANSWERS_KEPT
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }

    fn try_apply(&mut self, command: &Command) -> Result<(), Failure> {
        self.authorize(command)?;
        self.check_base(command)?;
        let next = self.replaced(command)?;
        next.check()?;
        self.revision += 1;
        self.note_changed(command);
        self.settings = Arc::new(next);
        Ok(())
    }

    /// Checks the token against the tokens in force at this place of the log, so that a token that a racing
    /// change withdrew cannot be used after it.
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

    /// The change wins only if its subtree is still as it was at the revision it was made against.
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

    fn replaced(&self, command: &Command) -> Result<Settings, Failure> {
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

    fn note_changed(&mut self, command: &Command) {
        match &command.scope {
            Scope::Team(name) => {
                self.team_changed_at.insert(name.clone(), self.revision);
            }
            Scope::All => {
                let old: Vec<Arc<str>> = self.settings.teams.keys().cloned().collect();
                let new: Vec<Arc<str>> = command.settings.teams.keys().cloned().collect();
                for name in old.into_iter().chain(new) {
                    let same = team_of(&self.settings, &name) == team_of(&command.settings, &name);
                    if !same {
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

fn fingerprint(command: &Command) -> Arc<str> {
    let text = serde_json::to_string(&(command.base_revision, &command.scope, &command.settings))
        .unwrap_or_default();
    token::digest(&text)
}
