//! The targets an entry owns, and how long it may use them.

use crate::claim::Claim;
use crate::claim::Claims;
use crate::grant::Grant;
use crate::grant::GrantedTarget;
use bh_protocol::target::Announcement;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One owned target.
#[derive(Clone, Debug)]
struct Held {
    announcement: Announcement,
    withheld: u32,
    releasing: bool,
    /// Another entry may own it by now; only this entry's requests in progress there are still counted.
    taken_away: bool,
    in_flight: u32,
}

impl Held {
    fn admits(&self) -> bool {
        !self.releasing && !self.taken_away && !self.announcement.leaving
    }

    fn free(&self) -> u32 {
        self.announcement
            .slots
            .saturating_sub(self.in_flight + self.withheld)
    }
}

/// All targets this entry owns.
///
/// Work may be sent to a target only while the entry's lease and the target's slots allow it. A target whose own lease
/// lapses is taken away by the leader with the next renewal.
#[derive(Clone, Debug)]
pub struct OwnedTargets {
    entry: Arc<str>,
    incarnation: u64,
    until_ms: u64,
    registry: u64,
    version: u64,
    wants_claims: bool,
    held: BTreeMap<Arc<str>, Held>,
}

impl OwnedTargets {
    /// No targets.
    pub fn new(entry: impl Into<Arc<str>>, incarnation: u64) -> Self {
        Self {
            entry: entry.into(),
            incarnation,
            until_ms: 0,
            registry: 0,
            version: 0,
            wants_claims: false,
            held: BTreeMap::new(),
        }
    }

    /// The renewal to send now.
    pub fn claims(&self, now_ms: u64, draining: bool) -> Claims {
        let released = self
            .held
            .iter()
            .filter(|(_, held)| held.releasing && !held.taken_away && held.in_flight == 0)
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
        self.held
            .values()
            .filter(|held| {
                remaining_ms > 0 && !held.taken_away && (held.in_flight > 0 || !held.releasing)
            })
            .map(|held| Claim {
                target: held.announcement.clone(),
                remaining_ms,
                withheld: held.withheld,
            })
            .collect()
    }

    /// Takes the leader's answer over. The lease counts from `sent_ms`, when the renewal was sent: the leader counts
    /// it from when the renewal arrived, so that it never ends there before it ends here.
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

    /// Takes over the targets that the entry owns without a leader, for `lease_ms`.
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
            let in_flight = self.held.get(&name).map_or(0, |held| held.in_flight);
            let held = Held {
                announcement: granted.target,
                withheld: granted.withheld,
                releasing: granted.release,
                taken_away: false,
                in_flight,
            };
            next.insert(name, held);
        }
        // Requests in progress on a target that was taken away are still counted until they end.
        for (name, mut held) in std::mem::take(&mut self.held) {
            if held.in_flight > 0 {
                held.taken_away = true;
                next.entry(name).or_insert(held);
            }
        }
        self.held = next;
    }

    /// Whether the entry's lease holds.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Targets that may get a request now: name, address, free slots and slots.
    pub fn usable(&self, now_ms: u64) -> impl Iterator<Item = (&Arc<str>, &Announcement, u32)> {
        let valid = self.is_valid(now_ms);
        self.held
            .iter()
            .filter(move |(_, held)| valid && held.admits())
            .map(|(name, held)| (name, &held.announcement, held.free()))
    }

    /// Free slots over all targets.
    pub fn free_slots(&self, now_ms: u64) -> u32 {
        self.usable(now_ms).map(|(_, _, free)| free).sum()
    }

    /// Slots over all usable targets, free or not.
    pub fn slots(&self, now_ms: u64) -> u32 {
        self.usable(now_ms).map(|(_, target, _)| target.slots).sum()
    }

    /// Takes a slot of a target; `false` when none may be taken.
    pub fn take(&mut self, now_ms: u64, target: &str) -> bool {
        let valid = self.is_valid(now_ms);
        match self.held.get_mut(target) {
            Some(held) if valid && held.admits() && held.free() > 0 => {
                held.in_flight += 1;
                true
            }
            _ => false,
        }
    }

    /// Gives a slot back.
    pub fn give_back(&mut self, target: &str) {
        if let Some(held) = self.held.get_mut(target) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
    }

    /// Notes that a target said it is leaving, without waiting for the leader's word.
    pub fn note_leaving(&mut self, target: &str) {
        if let Some(held) = self.held.get_mut(target) {
            held.announcement.leaving = true;
        }
    }
}
