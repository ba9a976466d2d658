//! Targets that an entry may use while it reaches no leader, because they announce themselves only to this entry.

use crate::grant::GrantedTarget;
use bh_protocol::target::Announcement;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of leases without an answer from a leader after which an entry is leaderless, and number of leases for which a
/// target must have announced itself to this entry before the entry uses it.
///
/// The target's own lease with the last leader may have run for one lease, and that leader may then have granted the target
/// to another entry for one more lease. Two leases after the target's last contact with that leader, no entry uses it.
const LEASES_TO_WAIT: u64 = 2;

#[derive(Clone, Debug)]
struct AnnouncedTarget {
    announcement: Announcement,
    first_announced_ms: u64,
    last_announced_ms: u64,
    withheld: u32,
}

/// Ownership of targets while the data centre has no quorum or the entry is disconnected from it.
///
/// A worker announces itself to one entry at a time. So this entry can own the worker while there is no leader, and the data
/// centre continues to answer idempotent requests within the workers' slots.
#[derive(Clone, Debug)]
pub struct LeaderlessTargets {
    lease_ms: u64,
    last_leader_ms: u64,
    targets: BTreeMap<Arc<str>, AnnouncedTarget>,
}

impl LeaderlessTargets {
    /// Creates the state of an entry that starts at `now_ms`. Targets have leases of `lease_ms`.
    pub fn new(now_ms: u64, lease_ms: u64) -> Self {
        Self {
            lease_ms,
            last_leader_ms: now_ms,
            targets: BTreeMap::new(),
        }
    }

    /// Forgets all targets because a leader has answered a renewal and decides who owns them.
    pub fn note_leader(&mut self, now_ms: u64) {
        self.last_leader_ms = now_ms;
        self.targets.clear();
    }

    /// Whether no leader has answered for so long that all its grants have expired.
    pub fn is_leaderless(&self, now_ms: u64) -> bool {
        now_ms >= self.last_leader_ms + LEASES_TO_WAIT * self.lease_ms
    }

    /// Records a target's announcement to this entry. A target that restarted, or that was silent for a lease and may have used
    /// another entry meanwhile, has to wait from the beginning.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) {
        let new_target = AnnouncedTarget {
            announcement: announcement.clone(),
            first_announced_ms: now_ms,
            last_announced_ms: now_ms,
            withheld: announcement.slots,
        };
        let target = self
            .targets
            .entry(announcement.name.clone())
            .or_insert_with(|| new_target.clone());
        let restarted = target.announcement.incarnation != announcement.incarnation;
        if restarted || now_ms >= target.last_announced_ms + self.lease_ms {
            *target = new_target;
            return;
        }
        target.last_announced_ms = now_ms;
        // Requests of an earlier owner may still be in progress. Their slots become free as the worker reports fewer busy slots.
        if now_ms >= target.first_announced_ms + LEASES_TO_WAIT * self.lease_ms {
            target.withheld = target.withheld.min(announcement.busy_slots);
        }
        target.announcement = announcement;
    }

    /// Returns the targets that this entry may use now.
    pub fn usable(&mut self, now_ms: u64) -> Vec<GrantedTarget> {
        let lease_ms = self.lease_ms;
        self.targets
            .retain(|_, target| now_ms < target.last_announced_ms + lease_ms);
        self.targets
            .values()
            .filter(|target| now_ms >= target.first_announced_ms + LEASES_TO_WAIT * lease_ms)
            .map(|target| GrantedTarget {
                target: Announcement {
                    tasks: Vec::new(),
                    busy_slots: 0,
                    ..target.announcement.clone()
                },
                withheld: target.withheld,
                release: false,
            })
            .collect()
    }
}
