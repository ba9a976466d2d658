//! The targets that an entry owns, and how long it may use them.

use crate::claim::Claim;
use crate::claim::Claims;
use crate::grant::Grant;
use crate::grant::GrantedTarget;
use bh_protocol::target::Announcement;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One owned target.
#[derive(Clone, Debug)]
struct OwnedTarget {
    announcement: Announcement,
    withheld: u32,
    releasing: bool,
    /// Whether the entry no longer owns the target. It only counts its requests that are still in progress there.
    withdrawn: bool,
    in_flight: u32,
}

impl OwnedTarget {
    fn admits(&self) -> bool {
        !self.releasing && !self.withdrawn && !self.announcement.leaving
    }

    fn free(&self) -> u32 {
        self.announcement
            .slots
            .saturating_sub(self.in_flight + self.withheld)
    }
}

/// All targets that this entry owns.
///
/// Requests may be sent to a target only while the entry's lease is valid and the target has free slots. When the target's
/// own lease expires, the leader withdraws the target with the next renewal.
#[derive(Clone, Debug)]
pub struct OwnedTargets {
    entry: Arc<str>,
    incarnation: u64,
    until_ms: u64,
    registry: u64,
    version: u64,
    wants_claims: bool,
    by_name: BTreeMap<Arc<str>, OwnedTarget>,
}

impl OwnedTargets {
    /// Creates an empty set of targets.
    pub fn new(entry: impl Into<Arc<str>>, incarnation: u64) -> Self {
        Self {
            entry: entry.into(),
            incarnation,
            until_ms: 0,
            registry: 0,
            version: 0,
            wants_claims: false,
            by_name: BTreeMap::new(),
        }
    }

    /// Returns the renewal to send now.
    pub fn claims(&self, now_ms: u64, draining: bool) -> Claims {
        let released = self
            .by_name
            .iter()
            .filter(|(_, owned)| owned.releasing && !owned.withdrawn && owned.in_flight == 0)
            .map(|(name, _)| name.clone());
        Claims {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            draining,
            registry: self.registry,
            version: self.version,
            released: released.collect(),
            claims: self.wants_claims.then(|| self.all_claims(now_ms)),
        }
    }

    fn all_claims(&self, now_ms: u64) -> Vec<Claim> {
        let remaining_ms = self.until_ms.saturating_sub(now_ms);
        self.by_name
            .values()
            .filter(|owned| {
                remaining_ms > 0 && !owned.withdrawn && (owned.in_flight > 0 || !owned.releasing)
            })
            .map(|owned| Claim {
                target: owned.announcement.clone(),
                remaining_ms,
                withheld: owned.withheld,
            })
            .collect()
    }

    /// Applies the leader's answer. The lease starts at `sent_ms`, when the renewal was sent. The leader counts it from the
    /// arrival of the renewal, so that the lease never ends there before it ends here.
    pub fn accept(&mut self, sent_ms: u64, grant: Grant) {
        self.wants_claims = grant.wants_claims;
        if grant.wants_claims {
            return;
        }
        self.until_ms = self.until_ms.max(sent_ms + grant.lease_ms);
        self.registry = grant.registry;
        self.version = grant.version;
        if let Some(targets) = grant.targets {
            self.replace(targets);
        }
    }

    /// Sets the targets that the entry owns without a leader, for `lease_ms`.
    pub fn accept_without_leader(
        &mut self,
        now_ms: u64,
        lease_ms: u64,
        targets: Vec<GrantedTarget>,
    ) {
        self.until_ms = now_ms + lease_ms;
        self.replace(targets);
    }

    fn replace(&mut self, targets: Vec<GrantedTarget>) {
        let mut next = BTreeMap::new();
        for granted in targets {
            let name = granted.target.name.clone();
            let in_flight = self.by_name.get(&name).map_or(0, |owned| owned.in_flight);
            let owned = OwnedTarget {
                announcement: granted.target,
                withheld: granted.withheld,
                releasing: granted.release,
                withdrawn: false,
                in_flight,
            };
            next.insert(name, owned);
        }
        // Requests in progress on a withdrawn target are counted until they end.
        for (name, mut owned) in std::mem::take(&mut self.by_name) {
            if owned.in_flight > 0 {
                owned.withdrawn = true;
                next.entry(name).or_insert(owned);
            }
        }
        self.by_name = next;
    }

    /// Whether the entry's lease is valid.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Targets that may get a request now: name, announcement and free slots.
    pub fn usable(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, &Announcement, u32)> {
        let valid = self.is_valid(now_ms);
        self.by_name
            .iter()
            .filter(move |(_, owned)| valid && owned.admits())
            .map(|(name, owned)| (name, &owned.announcement, owned.free()))
    }

    /// Number of free slots over all usable targets.
    pub fn free_slots(&self, now_ms: u64) -> u32 {
        self.usable(now_ms).map(|(_, _, free)| free).sum()
    }

    /// Number of slots over all usable targets, free or not.
    pub fn slots(&self, now_ms: u64) -> u32 {
        self.usable(now_ms).map(|(_, target, _)| target.slots).sum()
    }

    /// Takes a slot of a target. Returns `false` if no slot may be taken.
    pub fn take_slot(&mut self, now_ms: u64, target: &str) -> bool {
        let valid = self.is_valid(now_ms);
        match self.by_name.get_mut(target) {
            Some(owned) if valid && owned.admits() && owned.free() > 0 => {
                owned.in_flight += 1;
                true
            }
            _ => false,
        }
    }

    /// Frees a slot of a target.
    pub fn release_slot(&mut self, target: &str) {
        if let Some(owned) = self.by_name.get_mut(target) {
            owned.in_flight = owned.in_flight.saturating_sub(1);
        }
    }

    /// Marks a target as leaving after the target said so itself, without waiting for the leader.
    pub fn note_leaving(&mut self, target: &str) {
        if let Some(owned) = self.by_name.get_mut(target) {
            owned.announcement.leaving = true;
        }
    }
}
