//! The whole tree.

use super::System;
use super::Team;
use crate::Problem;
use crate::document::Document;
use crate::key::SETTINGS_KEYS;
use crate::section::Reader;
use bh_protocol::Code;
use bh_protocol::Failure;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// All settings that operators apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// What holds for all teams.
    #[serde(default)]
    pub system: System,
    /// The teams' subtrees by name.
    #[serde(default)]
    pub teams: BTreeMap<Arc<str>, Team>,
}

impl Settings {
    /// Reads settings from YAML and checks them.
    ///
    /// # Errors
    ///
    /// Every mistake in the file, in the order of its lines.
    pub fn parse(file: impl Into<Arc<str>>, bytes: &[u8]) -> Result<Settings, Vec<Problem>> {
        let document = Document::parse(file, Code::InvalidSettings, bytes)
            .map_err(|problem| vec![*problem])?;
        let reader = Reader::new(&document, SETTINGS_KEYS);
        let mut root = reader.root();
        let system = root.section("system").map(System::read).unwrap_or_default();
        let mut teams = BTreeMap::new();
        for (name, section) in root.named("teams") {
            teams.insert(name, Team::read(section));
        }
        let settings = Settings { system, teams };
        if let Err(failure) = settings.check() {
            root.note(
                failure.label,
                "give each customer of the system a name of its own",
            );
        }
        root.finish();
        let problems = reader.into_problems();
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(problems)
        }
    }

    /// The settings as YAML that [`Settings::parse`] reads back.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] when the tree cannot be written, which no valid tree causes.
    pub fn to_yaml(&self) -> Result<String, Failure> {
        serde_yaml_ng::to_string(self)
            .map_err(|error| Failure::new(Code::Internal, error.to_string()))
    }

    /// Checks what spans several teams.
    ///
    /// # Errors
    ///
    /// [`Code::InvalidSettings`] naming a customer that two teams claim.
    pub fn check(&self) -> Result<(), Failure> {
        let mut owners: BTreeMap<&Arc<str>, &Arc<str>> = BTreeMap::new();
        for (team_name, team) in &self.teams {
            for customer in team.customers.keys() {
                if let Some(other) = owners.insert(customer, team_name) {
                    let label = format!(
                        "customer `{customer}` stands under both `{other}` and `{team_name}`"
                    );
                    return Err(Failure::new(Code::InvalidSettings, label));
                }
            }
        }
        Ok(())
    }

    /// The team that owns `customer`.
    pub fn team_of(&self, customer: &str) -> Option<(&Arc<str>, &Team)> {
        self.teams
            .iter()
            .find(|(_, team)| team.customers.contains_key(customer))
    }
}
