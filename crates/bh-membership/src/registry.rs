//! The leader's table of targets and their owners.

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

/// Longest time that slots are withheld for requests of an earlier owner, in milliseconds.
const WITHHOLD_MS: u64 = 60_000;

/// An announcement counts for a change of owner only when it arrives this long after the old owner's lease ended, in
/// milliseconds: workers report with a lag, and a request sent at the last moment is still on its way.
const REPORT_LAG_MS: u64 = 500;

/// All targets of a data centre, as its leader knows them.
///
/// It is kept in memory only: a new leader learns it from the owners' claims and the targets' announcements.
#[derive(Clone, Debug)]
pub struct Registry {
    id: u64,
    target_lease_ms: u64,
    owner_lease_ms: u64,
    /// Until then entries may hold grants of an earlier leader, so that only their claims are honoured.
    grace_until_ms: u64,
    targets: BTreeMap<Arc<str>, Target>,
    entries: BTreeMap<Arc<str>, Renewal>,
    /// What each entry was last granted, and the version of it.
    granted: BTreeMap<Arc<str>, (u64, Vec<GrantedTarget>)>,
    /// Targets whose lease lapsed and that were not told of yet.
    gone: Vec<Arc<str>>,
}

impl Registry {
    /// The registry `id` of a leader elected at `now_ms`; no two leaders have the same id. A leader before it may still have granted for `overlap_ms` after
    /// that, until it noticed that it leads no more.
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
            gone: Vec::new(),
        }
    }

    /// Takes a target's announcement into account.
    pub fn announce(&mut self, now_ms: u64, announcement: Announcement) {
        let expires_ms = now_ms + self.target_lease_ms;
        let name = announcement.name.clone();
        let unknown = self.unknown_target(now_ms, &announcement, expires_ms);
        let target = self.targets.entry(name).or_insert(unknown);
        target.lapsed = false;
        target.announcement = announcement;
        target.announced_ms = now_ms;
        target.expires_ms = expires_ms;
    }

    /// A target that this leader did not know. While grants of an earlier leader may hold, an entry that cannot be reached
    /// may own it: it is nobody's until they are over and it has announced itself once more, and what it is busy with by
    /// then stays withheld.
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
            lapsed: false,
            free_from_ms,
            withheld,
            withheld_until_ms: free_from_ms + WITHHOLD_MS,
        }
    }

    /// Renews an entry's targets and grants it others.
    pub fn renew(&mut self, now_ms: u64, claims: Claims) -> Grant {
        let entry = claims.entry.clone();
        let is_stranger = claims.registry != self.id && claims.claims.is_none();
        if is_stranger && now_ms < self.grace_until_ms {
            return Grant {
                registry: self.id,
                wants_claims: true,
                ..Grant::default()
            };
        }
        self.note_entry(now_ms, &claims);
        self.honour_claims(now_ms, &claims);
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

    /// What an entry is granted now, under a version that changes with it.
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

    fn note_entry(&mut self, now_ms: u64, claims: &Claims) {
        let until_ms = now_ms + self.owner_lease_ms;
        let restarted = self
            .entries
            .get(&claims.entry)
            .is_some_and(|renewal| renewal.incarnation != claims.incarnation);
        if restarted {
            // The process before it is dead, and so are its connections: nothing of it is in progress that this
            // entry answers for. What its requests still do on the targets is withheld.
            self.drop_owner(now_ms, &claims.entry.clone());
        }
        let renewal = Renewal {
            incarnation: claims.incarnation,
            until_ms,
            draining: claims.draining,
        };
        self.entries.insert(claims.entry.clone(), renewal);
    }

    /// Ends the ownership of an entry. Its targets go to others only after an announcement newer than now, whose busy
    /// count covers all that the entry may have started.
    fn drop_owner(&mut self, now_ms: u64, entry: &Arc<str>) {
        for target in self.targets.values_mut() {
            if target
                .owner
                .as_ref()
                .is_some_and(|owner| owner.entry == *entry)
            {
                target.owner = None;
                target.free_from_ms = now_ms + REPORT_LAG_MS;
                target.withheld = target.announcement.slots;
                target.withheld_until_ms = now_ms + WITHHOLD_MS;
            }
        }
    }

    fn honour_claims(&mut self, now_ms: u64, claims: &Claims) {
        let in_grace = now_ms < self.grace_until_ms;
        for claim in claims.claims.iter().flatten().filter(|_| in_grace) {
            self.learn(now_ms, claim, &claims.entry);
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

    /// A new leader takes an owner's word for what it owns.
    fn learn(&mut self, now_ms: u64, claim: &Claim, entry: &Arc<str>) {
        let name = claim.target.name.clone();
        let target = self.targets.entry(name).or_insert_with(|| Target {
            announcement: claim.target.clone(),
            expires_ms: now_ms + claim.remaining_ms,
            announced_ms: now_ms,
            owner: None,
            lapsed: false,
            free_from_ms: now_ms,
            withheld: 0,
            withheld_until_ms: 0,
        });
        if target.owner.is_none() {
            // What else it is busy with are the owner's own requests.
            target.withheld = claim.withheld;
            target.withheld_until_ms = now_ms + WITHHOLD_MS;
            target.owner = Some(Owner {
                entry: entry.clone(),
                releasing: false,
            });
        }
    }

    /// Ends leases that have lapsed; returns the targets that are gone since the last call.
    pub fn take_expired_targets(&mut self, now_ms: u64) -> Vec<Arc<str>> {
        self.expire(now_ms);
        std::mem::take(&mut self.gone)
    }

    fn expire(&mut self, now_ms: u64) {
        let silent: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, renewal)| now_ms >= renewal.until_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for entry in silent {
            self.drop_owner(now_ms, &entry);
            self.entries.remove(&entry);
        }
        self.lapse_targets(now_ms);
        self.targets
            .retain(|_, target| !target.lapsed || now_ms < target.free_from_ms);
    }

    /// Ends the leases of targets that fell silent. The owner of one hears of it with its next renewal at the latest, and
    /// uses it no longer than its own lease; a target that comes back before that must not go to another entry.
    fn lapse_targets(&mut self, now_ms: u64) {
        let owner_until_ms = now_ms + self.owner_lease_ms + REPORT_LAG_MS;
        for (name, target) in &mut self.targets {
            if target.lapsed || now_ms < target.expires_ms {
                continue;
            }
            target.lapsed = true;
            self.gone.push(name.clone());
            if target.owner.take().is_some() {
                target.free_from_ms = owner_until_ms;
                target.withheld = target.announcement.slots;
                target.withheld_until_ms = owner_until_ms + WITHHOLD_MS;
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

    /// Gives targets without an owner to the entries that own the fewest.
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
            let ready = target.owner.is_none()
                && !target.lapsed
                && target.announced_ms >= target.free_from_ms;
            if !ready {
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

    /// Asks the entry that owns the most targets to release one, when another owns at least two fewer; and an entry
    /// that shuts down to release all.
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
        let (Some((least, _)), Some((most, fullest))) = (counts.iter().min(), counts.iter().max())
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
                .is_some_and(|owner| owner.entry == *fullest)
        };
        if let Some(target) = self.targets.values_mut().find(owned)
            && let Some(owner) = &mut target.owner
        {
            owner.releasing = true;
        }
    }

    /// All targets, for operators.
    pub fn views(&self, now_ms: u64) -> Vec<TargetView> {
        self.targets
            .values()
            .filter(|target| !target.lapsed)
            .map(|target| TargetView {
                target: target.announcement.clone(),
                remaining_ms: target.expires_ms.saturating_sub(now_ms),
                owner: target.owner.as_ref().map(|owner| owner.entry.clone()),
            })
            .collect()
    }

    /// Address of a live target.
    pub fn address_of(&self, name: &str) -> Option<Arc<str>> {
        self.targets
            .get(name)
            .filter(|target| !target.lapsed)
            .map(|target| target.announcement.address.clone())
    }

    /// Names of the entries that renew.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.keys()
    }
}
