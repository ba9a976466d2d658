//! A target in the leader's registry.

use crate::grant::GrantedTarget;
use bh_protocol::target::Announcement;
use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(crate) struct Owner {
    pub entry: Arc<str>,
    pub releasing: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub announcement: Announcement,
    pub expires_ms: u64,
    pub announced_ms: u64,
    pub owner: Option<Owner>,
    /// Whether the target's lease has expired. The target is kept while its owner may not know that yet.
    pub expired: bool,
    /// Time from which the target may get an owner, after an announcement that is not older.
    pub free_from_ms: u64,
    pub withheld: u32,
    pub withheld_until_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Renewal {
    pub incarnation: u64,
    pub until_ms: u64,
    pub draining: bool,
}

/// A target as displayed to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetView {
    /// The target's last announcement.
    pub target: Announcement,
    /// Remaining time of the target's lease, in milliseconds.
    pub remaining_ms: u64,
    /// Entry that owns the target.
    pub owner: Option<Arc<str>>,
}

impl Target {
    /// Returns the grant for the target's owner.
    pub fn granted(&mut self, now_ms: u64) -> GrantedTarget {
        if now_ms >= self.withheld_until_ms {
            self.withheld = 0;
        }
        self.withheld = self.withheld.min(self.announcement.busy_slots);
        let announcement = Announcement {
            tasks: Vec::new(),
            busy_slots: 0,
            ..self.announcement.clone()
        };
        GrantedTarget {
            target: announcement,
            withheld: self.withheld,
            release: self.owner.as_ref().is_some_and(|owner| owner.releasing),
        }
    }
}
