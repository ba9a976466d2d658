//! Settings changes that operators send, and reports of the settings in force.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// The subtree that a change replaces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// The whole tree; administrators only.
    All,
    /// One team's subtree.
    Team(Arc<str>),
}

/// Body of `POST /v1/settings`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id chosen by the operator's tool; a resend with the same id gets the first answer again.
    pub change_id: Arc<str>,
    /// Revision that the change is based on.
    pub base_revision: u64,
    /// The subtree to replace.
    pub scope: Scope,
    /// The new subtree, as YAML.
    pub yaml: String,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that the change created.
    pub revision: u64,
}

/// Settings in force on one entry, the answer of `GET /v1/settings/in-force`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the entry VM.
    pub entry: Arc<str>,
    /// Data centre of the entry.
    pub data_centre: Arc<str>,
    /// Revision in force; 0 before the first change.
    pub revision: u64,
    /// Time since the last contact to the settings leader in milliseconds.
    pub confirmed_ms: u64,
    /// Whether the entry has no contact to the settings quorum, so that its revision may be outdated.
    pub cut_off: bool,
}

/// Settings in force on all entries, the result of `beechctl settings in-force`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForceEverywhere {
    /// The entries that answered.
    pub entries: Vec<InForce>,
    /// Names of the entries that did not answer.
    pub silent: Vec<Arc<str>>,
}
