//! Settings changes as sent by operators and as read back.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Which subtree a change replaces.
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
    /// Chosen by the operator's tool; a resend with the same id gets the first answer again.
    pub change_id: Arc<str>,
    /// Revision the change was made against.
    pub base_revision: u64,
    /// The subtree it replaces.
    pub scope: Scope,
    /// The new subtree, as YAML.
    pub yaml: String,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that carries the change.
    pub revision: u64,
}

/// What one entry has in force, the answer of `GET /v1/settings/in-force`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the entry VM.
    pub entry: Arc<str>,
    /// Data centre of the entry.
    pub data_centre: Arc<str>,
    /// Revision in force; 0 before the first change.
    pub revision: u64,
    /// Milliseconds since this entry last heard from the settings leader.
    pub confirmed_ms: u64,
    /// Whether the entry is cut off from the settings quorum and may be behind.
    pub cut_off: bool,
}

/// The whole system's answer to `beechctl settings in-force`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForceEverywhere {
    /// One row for each entry that answered.
    pub entries: Vec<InForce>,
    /// Names of the entries that did not answer.
    pub silent: Vec<Arc<str>>,
}
