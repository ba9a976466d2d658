//! Whether the load balancer may send callers to an entry.

use crate::mesh::Mesh;
use std::cell::Cell;

/// Time after the last contact with the leader during which an entry still counts as ready, in milliseconds. Most elections take less, and
/// the balancer needs two failed checks a second apart, so even a longer election does not take callers away from the entries.
const READY_AFTER_LEADER_MS: u64 = 900;

/// Last contact of an entry with a leader that has rules.
#[derive(Debug, Default)]
pub struct Readiness {
    last_contact_ms: Cell<u64>,
}

impl Readiness {
    /// Creates the state of an entry without contact to a leader.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether callers may be sent here: there was contact with a leader recently.
    ///
    /// A data centre that is cut off keeps its callers until all its entries report that they are not ready, and until then the callers
    /// wait in vain. So the last contact counts and not the state of the link, which is closed only after more than a second of silence.
    pub fn is_ready(&self, mesh: &Mesh) -> bool {
        if let Some(leader) = mesh.leader()
            && leader.status.borrow().rules_version > 0
        {
            let last_contact_ms = leader.leader_contact_ms().max(self.last_contact_ms.get());
            self.last_contact_ms.set(last_contact_ms);
        }
        let last_contact_ms = self.last_contact_ms.get();
        last_contact_ms > 0 && mesh.now_ms() < last_contact_ms + READY_AFTER_LEADER_MS
    }
}
