//! Settings that apply to all teams.

use super::Policy;
use super::team::read_digests;
use crate::section::Section;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// Subtree that only administrators may change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct System {
    /// SHA-256 digests of the tokens that allow changing the whole tree.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub administrator_tokens_sha256: Vec<Arc<str>>,
    /// Placement policy.
    #[serde(default)]
    pub policy: Policy,
}

impl System {
    /// Reads the section `system`.
    pub fn read(mut section: Section<'_>) -> Self {
        let system = Self {
            administrator_tokens_sha256: read_digests(&mut section, "administrator_tokens_sha256"),
            policy: section
                .section("policy")
                .map(Policy::read)
                .unwrap_or_default(),
        };
        section.finish();
        system
    }
}
