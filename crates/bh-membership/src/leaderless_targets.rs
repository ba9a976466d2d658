//! Targets of an entry that reaches no leader: those that announce themselves to it alone.

use crate::grant::GrantedTarget;
use bh_protocol::target::Announcement;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Leases without a leader after which an entry counts as alone, and of a target's faithfulness after which it is used.
///
/// The last leader may have granted the target to another entry for one lease after the target's own lease of one. Two
/// leases after the target last spoke to that leader nobody uses it any more.
const LEASES: u64 = 2;

#[derive(Clone, Debug)]
struct Faithful {
    announcement: Announcement,
    first_ms: u64,
    last_ms: u64,
    withheld: u32,
}

/// What an entry does while its data centre has no quorum, or it is cut off from it.
///
/// A worker announces itself to one entry at a time, so that while there is no leader the entry it has chosen can be its
/// owner: the data centre goes on answering idempotent requests within the workers' slots.
#[derive(Clone, Debug)]
pub struct LeaderlessTargets {
    lease_ms: u64,
    leader_ms: u64,
    targets: BTreeMap<Arc<str>, Faithful>,
}

impl LeaderlessTargets {
    /// An entry that starts at `now_ms`; targets have leases of `lease_ms`.
    pub fn new(now_ms: u64, lease_ms: u64) -> Self {
        Self {
            lease_ms,
            leader_ms: now_ms,
            targets: BTreeMap::new(),
        }
    }

    /// Notes that the leader has answered a renewal: it decides who owns what.
    pub fn note_leader(&mut self, now_ms: u64) {
        self.leader_ms = now_ms;
        self.targets.clear();
    }

    /// Whether no leader has answered for so long that every grant of one is over.
    pub fn is_leaderless(&self, now_ms: u64) -> bool {
        now_ms >= self.leader_ms + LEASES * self.lease_ms
    }

    /// Notes a target's announcement to this entry. One that was silent for a lease may have gone to another entry in
    /// between, and starts anew.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) {
        let fresh = Faithful {
            announcement: announcement.clone(),
            first_ms: now_ms,
            last_ms: now_ms,
            withheld: announcement.slots,
        };
        let target = self
            .targets
            .entry(announcement.name.clone())
            .or_insert_with(|| fresh.clone());
        let restarted = target.announcement.incarnation != announcement.incarnation;
        if restarted || now_ms >= target.last_ms + self.lease_ms {
            *target = fresh;
            return;
        }
        target.last_ms = now_ms;
        // Requests of an owner before are still in progress there; their slots come free as the worker reports it.
        if now_ms >= target.first_ms + LEASES * self.lease_ms {
            target.withheld = target.withheld.min(announcement.busy_slots);
        }
        target.announcement = announcement;
    }

    /// The targets that this entry may use now.
    pub fn usable(&mut self, now_ms: u64) -> Vec<GrantedTarget> {
        let lease_ms = self.lease_ms;
        self.targets
            .retain(|_, target| now_ms < target.last_ms + lease_ms);
        self.targets
            .values()
            .filter(|target| now_ms >= target.first_ms + LEASES * lease_ms)
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
