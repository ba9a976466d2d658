//! Root of the settings tree.

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
    /// Settings that apply to all teams.
    #[serde(default)]
    pub system: System,
    /// Subtrees of the teams by name.
    #[serde(default)]
    pub teams: BTreeMap<Arc<str>, Team>,
}

impl Settings {
    /// Parses settings from YAML and validates them.
    ///
    /// # Errors
    ///
    /// Every problem in the file, ordered by line.
    pub fn parse(file: impl Into<Arc<str>>, bytes: &[u8]) -> Result<Settings, Vec<Problem>> {
        let document = Document::parse(file, Code::InvalidSettings, bytes)
            .map_err(|problem| vec![*problem])?;
        let reader = Reader::new(&document, SETTINGS_KEYS);
        let mut root = reader.root();
        let system = root.section("system").map(System::read).unwrap_or_default();
        let mut teams = BTreeMap::new();
        for (name, section) in root.named_sections("teams") {
            teams.insert(name, Team::read(section));
        }
        let settings = Settings { system, teams };
        if let Err(failure) = settings.check() {
            root.report(
                failure.label,
                "customer names must be unique over all teams; rename one of the two",
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

    /// Serializes the settings as YAML that [`Settings::parse`] accepts.
    ///
    /// # Errors
    ///
    /// [`Code::Internal`] if the tree cannot be serialized; a valid tree always can.
    pub fn to_yaml(&self) -> Result<String, Failure> {
        serde_yaml_ng::to_string(self)
            .map_err(|error| Failure::new(Code::Internal, error.to_string()))
    }

    /// Checks constraints that span several teams.
    ///
    /// # Errors
    ///
    /// [`Code::InvalidSettings`], with the name of a customer that belongs to two teams.
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
