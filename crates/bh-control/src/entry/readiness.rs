//! Whether the balancer may send callers to an entry.

use crate::mesh::Mesh;
use std::cell::Cell;

/// Time after the leader was last heard during which an entry still counts as ready, in milliseconds. Most elections are over then, and the
/// balancer wants two refusals a second apart: a longer election costs no entry its callers.
const READY_AFTER_LEADER_MS: u64 = 900;

/// When an entry last heard a leader that has rules.
#[derive(Debug, Default)]
pub struct Readiness {
    last_contact_ms: Cell<u64>,
}

impl Readiness {
    /// Of an entry that has heard no leader yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether callers shall come here: a leader was heard lately.
    ///
    /// A data centre that is cut off keeps its callers until all its entries say that they are not ready, and they wait in vain until then. So
    /// the last sign of life counts, and not the link: that is given up only after a second and more of silence.
    pub fn is_ready(&self, mesh: &Mesh) -> bool {
        if let Some(leader) = mesh.leader()
            && leader.status.borrow().rules_version > 0
        {
            let last_contact_ms = leader.last_contact_ms.get().max(self.last_contact_ms.get());
            self.last_contact_ms.set(last_contact_ms);
        }
        let last_contact_ms = self.last_contact_ms.get();
        last_contact_ms > 0 && mesh.now_ms() < last_contact_ms + READY_AFTER_LEADER_MS
    }
}
