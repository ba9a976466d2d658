//! The leader's registry of targets and their owners.

use crate::claim::Claim;
use crate::claim::Claims;
use crate::grant::Grant;
use crate::grant::GrantedTarget;
use crate::target::Owner;
use crate::target::Renewal;
use crate::target::Target;
use crate::target::TargetView;
use bh_protocol::target::Announcement;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Longest time that slots are withheld for requests of an earlier owner.
const MAX_WITHHOLD_MS: u64 = 60_000;

/// How long after the end of the old owner's lease an announcement must arrive to count for a change of owner. Workers
/// report with a lag, and a request that was sent at the last moment may still be on its way.
const REPORT_LAG_MS: u64 = 500;

/// All targets of a data centre, as its leader knows them.
///
/// The registry is kept in memory only. A new leader rebuilds it from the owners' claims and the targets' announcements.
#[derive(Clone, Debug)]
pub struct Registry {
    id: u64,
    target_lease_ms: u64,
    owner_lease_ms: u64,
    /// Until this time, entries may hold grants of an earlier leader, so only claims are accepted.
    grace_until_ms: u64,
    targets: BTreeMap<Arc<str>, Target>,
    entries: BTreeMap<Arc<str>, Renewal>,
    /// The targets last granted to each entry, and their version.
    granted: BTreeMap<Arc<str>, (u64, Vec<GrantedTarget>)>,
    /// Targets whose lease expired and that `take_expired_targets` has not returned yet.
    expired_targets: Vec<Arc<str>>,
}

impl Registry {
    /// Creates the registry of a leader elected at `now_ms`. Each leader has a different `id`. The previous leader may have granted targets
    /// for up to `overlap_ms` after the election, until it noticed that it is no longer the leader.
    pub fn new(
        id: u64,
        now_ms: u64,
        target_lease_ms: u64,
        owner_lease_ms: u64,
        overlap_ms: u64,
    ) -> Self {
        Self {
            id,
            target_lease_ms,
            owner_lease_ms,
            grace_until_ms: now_ms + owner_lease_ms + overlap_ms,
            targets: BTreeMap::new(),
            entries: BTreeMap::new(),
            granted: BTreeMap::new(),
            expired_targets: Vec::new(),
        }
    }

    /// Applies a target's announcement.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) {
        let expires_ms = now_ms + self.target_lease_ms;
        let name = announcement.name.clone();
        let unknown = self.unknown_target(now_ms, &announcement, expires_ms);
        let target = self.targets.entry(name).or_insert(unknown);
        target.expired = false;
        target.announcement = announcement;
        target.announced_ms = now_ms;
        target.expires_ms = expires_ms;
    }

    /// Creates a target that this leader didn't know. During the grace period, an unreachable entry may own the target under
    /// an earlier leader's grant. So it gets no owner before the grace period has ended and it has announced itself again, and
    /// the slots that are busy then are withheld.
    fn unknown_target(&self, now_ms: u64, announcement: &Announcement, expires_ms: u64) -> Target {
        let in_grace = now_ms < self.grace_until_ms;
        let (free_from_ms, withheld) = if in_grace {
            (self.grace_until_ms + REPORT_LAG_MS, announcement.slots)
        } else {
            (now_ms, announcement.busy_slots)
        };
        Target {
            announcement: announcement.clone(),
            expires_ms,
            announced_ms: now_ms,
            owner: None,
            expired: false,
            free_from_ms,
            withheld,
            withheld_until_ms: free_from_ms + MAX_WITHHOLD_MS,
        }
    }

    /// Renews an entry's lease and returns the targets it owns from now on.
    pub fn renew(&mut self, now_ms: u64, claims: Claims) -> Grant {
        let entry = claims.entry.clone();
        let is_unknown_entry = claims.registry != self.id && claims.claims.is_none();
        if is_unknown_entry && now_ms < self.grace_until_ms {
            return Grant {
                registry: self.id,
                wants_claims: true,
                ..Grant::default()
            };
        }
        self.record_renewal(now_ms, &claims);
        self.accept_claims(now_ms, &claims);
        self.expire(now_ms);
        self.assign(now_ms);
        self.rebalance(now_ms);
        let (version, targets) = self.granted_to(now_ms, &entry);
        let known = claims.registry == self.id && claims.version == version;
        Grant {
            lease_ms: self.owner_lease_ms,
            registry: self.id,
            version,
            targets: (!known).then_some(targets),
            wants_claims: false,
        }
    }

    /// Returns the targets granted to an entry, with a version that changes with them.
    fn granted_to(&mut self, now_ms: u64, entry: &Arc<str>) -> (u64, Vec<GrantedTarget>) {
        let targets: Vec<GrantedTarget> = self
            .targets
            .values_mut()
            .filter(|target| {
                target
                    .owner
                    .as_ref()
                    .is_some_and(|owner| owner.entry == *entry)
            })
            .map(|target| target.granted(now_ms))
            .collect();
        let (version, last) = self.granted.entry(entry.clone()).or_default();
        if *version == 0 || *last != targets {
            *version += 1;
            last.clone_from(&targets);
        }
        (*version, targets)
    }

    fn record_renewal(&mut self, now_ms: u64, claims: &Claims) {
        let until_ms = now_ms + self.owner_lease_ms;
        let restarted = self
            .entries
            .get(&claims.entry)
            .is_some_and(|renewal| renewal.incarnation != claims.incarnation);
        if restarted {
            // The previous process and its connections are gone, so the new process has no requests in progress. The
            // slots that the old requests may still use on the targets are withheld.
            self.end_ownership(now_ms, &claims.entry.clone());
        }
        let renewal = Renewal {
            incarnation: claims.incarnation,
            until_ms,
            draining: claims.draining,
        };
        self.entries.insert(claims.entry.clone(), renewal);
    }

    /// Ends the ownership of an entry. Its targets get another owner only after a newer announcement, whose busy slots include
    /// all requests that the entry may have started.
    fn end_ownership(&mut self, now_ms: u64, entry: &Arc<str>) {
        for target in self.targets.values_mut() {
            if target
                .owner
                .as_ref()
                .is_some_and(|owner| owner.entry == *entry)
            {
                target.owner = None;
                target.free_from_ms = now_ms + REPORT_LAG_MS;
                target.withheld = target.announcement.slots;
                target.withheld_until_ms = now_ms + MAX_WITHHOLD_MS;
            }
        }
    }

    fn accept_claims(&mut self, now_ms: u64, claims: &Claims) {
        let in_grace = now_ms < self.grace_until_ms;
        for claim in claims.claims.iter().flatten().filter(|_| in_grace) {
            self.accept_claim(now_ms, claim, &claims.entry);
        }
        for name in &claims.released {
            let Some(target) = self.targets.get_mut(name) else {
                continue;
            };
            let releasing = target
                .owner
                .as_ref()
                .is_some_and(|owner| owner.entry == claims.entry && owner.releasing);
            if releasing {
                target.owner = None;
                target.free_from_ms = now_ms;
            }
        }
    }

    /// Accepts an owner's claim during the grace period of a new leader.
    fn accept_claim(&mut self, now_ms: u64, claim: &Claim, entry: &Arc<str>) {
        let name = claim.target.name.clone();
        let target = self.targets.entry(name).or_insert_with(|| Target {
            announcement: claim.target.clone(),
            expires_ms: now_ms + claim.remaining_ms,
            announced_ms: now_ms,
            owner: None,
            expired: false,
            free_from_ms: now_ms,
            withheld: 0,
            withheld_until_ms: 0,
        });
        if target.owner.is_none() {
            // All other busy slots are taken by the owner's own requests.
            target.withheld = claim.withheld;
            target.withheld_until_ms = now_ms + MAX_WITHHOLD_MS;
            target.owner = Some(Owner {
                entry: entry.clone(),
                releasing: false,
            });
        }
    }

    /// Expires leases and returns the targets whose lease has expired since the last call.
    pub fn take_expired_targets(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        self.expire(now_ms);
        std::mem::take(&mut self.expired_targets)
    }

    fn expire(&mut self, now_ms: u64) {
        let expired_entries: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, renewal)| now_ms >= renewal.until_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for entry in expired_entries {
            self.end_ownership(now_ms, &entry);
            self.entries.remove(&entry);
        }
        self.expire_targets(now_ms);
        self.targets
            .retain(|_, target| !target.expired || now_ms < target.free_from_ms);
    }

    /// Expires the leases of targets that stopped announcing themselves. The owner learns of this with its next renewal, and
    /// uses the target no longer than its own lease. A target that returns before then must not go to another entry.
    fn expire_targets(&mut self, now_ms: u64) {
        let owner_until_ms = now_ms + self.owner_lease_ms + REPORT_LAG_MS;
        for (name, target) in &mut self.targets {
            if target.expired || now_ms < target.expires_ms {
                continue;
            }
            target.expired = true;
            self.expired_targets.push(name.clone());
            if target.owner.take().is_some() {
                target.free_from_ms = owner_until_ms;
                target.withheld = target.announcement.slots;
                target.withheld_until_ms = owner_until_ms + MAX_WITHHOLD_MS;
            }
        }
    }

    fn owned_by(&self, entry: &Arc<str>) -> usize {
        self.targets
            .values()
            .filter(|target| {
                target
                    .owner
                    .as_ref()
                    .is_some_and(|owner| owner.entry == *entry)
            })
            .count()
    }

    /// Gives targets without an owner to the entries that own the fewest targets.
    fn assign(&mut self, now_ms: u64) {
        if now_ms < self.grace_until_ms {
            return;
        }
        let mut counts: BTreeMap<Arc<str>, usize> = self
            .entries
            .iter()
            .filter(|(_, renewal)| !renewal.draining)
            .map(|(name, _)| (name.clone(), self.owned_by(name)))
            .collect();
        for target in self.targets.values_mut() {
            let assignable = target.owner.is_none()
                && !target.expired
                && target.announced_ms >= target.free_from_ms;
            if !assignable {
                continue;
            }
            let Some((entry, count)) = counts.iter_mut().min_by_key(|(_, count)| **count) else {
                return;
            };
            *count += 1;
            if target.withheld > 0 {
                target.withheld = target.withheld.min(target.announcement.busy_slots);
            }
            target.owner = Some(Owner {
                entry: entry.clone(),
                releasing: false,
            });
        }
    }

    /// Asks the entry with the most targets to release one if another entry has at least two fewer, and asks entries that shut
    /// down to release all targets.
    fn rebalance(&mut self, now_ms: u64) {
        if now_ms < self.grace_until_ms {
            return;
        }
        for target in self.targets.values_mut() {
            if let Some(owner) = &mut target.owner {
                let draining = self
                    .entries
                    .get(&owner.entry)
                    .is_some_and(|renewal| renewal.draining);
                owner.releasing |= draining;
            }
        }
        let staying = self
            .entries
            .iter()
            .filter(|(_, renewal)| !renewal.draining)
            .map(|(name, _)| name);
        let counts: Vec<(usize, Arc<str>)> = staying
            .map(|name| (self.owned_by(name), name.clone()))
            .collect();
        let (Some((least, _)), Some((most, most_loaded))) =
            (counts.iter().min(), counts.iter().max())
        else {
            return;
        };
        let moving = self
            .targets
            .values()
            .any(|target| target.owner.as_ref().is_some_and(|owner| owner.releasing));
        if most - least < 2 || moving {
            return;
        }
        let owned = |target: &&mut Target| {
            target
                .owner
                .as_ref()
                .is_some_and(|owner| owner.entry == *most_loaded)
        };
        if let Some(target) = self.targets.values_mut().find(owned)
            && let Some(owner) = &mut target.owner
        {
            owner.releasing = true;
        }
    }

    /// All live targets, for display to operators.
    pub fn views(&self, now_ms: u64) -> Vec<TargetView> {
        self.targets
            .values()
            .filter(|target| !target.expired)
            .map(|target| TargetView {
                target: target.announcement.clone(),
                remaining_ms: target.expires_ms.saturating_sub(now_ms),
                owner: target.owner.as_ref().map(|owner| owner.entry.clone()),
            })
            .collect()
    }

    /// Returns the address of a live target.
    pub fn address_of(&self, name: &str) -> Option<Arc<str>> {
        self.targets
            .get(name)
            .filter(|target| !target.expired)
            .map(|target| target.announcement.address.clone())
    }

    /// Names of the entries whose lease is valid.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }
}
