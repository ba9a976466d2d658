//! Changes a group's voters to those that its policy asks for, one at a time.

use crate::config::VoterPolicy;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::role::Leadership;
use crate::role::Role;
use crate::voters::Voters;
use bh_protocol::wire::Member;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Replica {
    /// Adds or removes at most one voter, as the voter policy asks.
    ///
    /// A VM that came back without its data has a new identity under its old name. Once the new identity has caught up, the leader removes
    /// the old one and then adds the new one: the VM must not count as the old voter, since it has lost the entries that the old voter
    /// acknowledged. Adding or removing one voter at a time makes the majorities before and after a change overlap.
    pub(crate) fn change_membership(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let may_change = self.commit >= leadership.term_start_index
            && self.log.last_membership_change() <= self.commit;
        if !may_change {
            return;
        }
        if let Some(next) = self.next_voters(now_ms, leadership) {
            for (id, name) in next.iter() {
                let next_index = self.log.last_index() + 1;
                if let Role::Leader(leadership) = &mut self.role
                    && id != self.config.id
                {
                    leadership
                        .progress
                        .entry(id)
                        .or_insert_with(|| Progress::new(name.clone(), true, next_index, now_ms));
                }
            }
            self.append_as_leader(Vec::new(), next.to_members());
            self.replicate_all(now_ms);
            self.update_commit_index();
        }
    }

    fn next_voters(&self, now_ms: u64, leadership: &Leadership) -> Option<Voters> {
        let recent_since_ms = now_ms.saturating_sub(self.config.election_timeout_ms * 2);
        let caught_up_index = if self.has_many_observers() {
            leadership.heartbeat_commit.max(leadership.term_start_index)
        } else {
            self.commit
        };
        let caught_up = |p: &Progress| {
            p.durable && p.last_contact_ms >= recent_since_ms && p.matched >= caught_up_index
        };
        let mut caught_up_observers = leadership.progress.iter().filter(|(id, p)| {
            !self.voters.contains(**id) && self.config.voter_policy.allows(&p.name) && caught_up(p)
        });
        match &self.config.voter_policy {
            VoterPolicy::Names(names) => self.step_to_names(names, caught_up_observers.next()),
            VoterPolicy::Count {
                count,
                replace_after_ms,
            } => {
                let silent_since_ms = now_ms.saturating_sub(*replace_after_ms);
                let is_silent = |id: u64| {
                    leadership
                        .progress
                        .get(&id)
                        .is_some_and(|p| p.last_contact_ms < silent_since_ms)
                };
                let promotable: Vec<(u64, &Progress)> =
                    caught_up_observers.map(|(id, p)| (*id, p)).collect();
                self.step_to_count(*count, &promotable, is_silent)
            }
        }
    }

    fn step_to_names(
        &self,
        names: &BTreeSet<Arc<str>>,
        observer: Option<(&u64, &Progress)>,
    ) -> Option<Voters> {
        if let Some((id, p)) = observer {
            return Some(match self.voter_id_of(&p.name) {
                Some(old) => self.voters_without(old),
                None => self.voters_with(*id, &p.name),
            });
        }
        // A voter that the policy doesn't name is removed once all that it names are voters. The leader doesn't remove itself here.
        let present = self
            .voters
            .iter()
            .filter(|(_, name)| names.contains(*name))
            .count();
        if present < names.len() {
            return None;
        }
        let unwanted = self
            .voters
            .iter()
            .find(|(id, name)| *id != self.config.id && !names.contains(*name));
        unwanted
            .filter(|_| self.voters.len() > 1)
            .map(|(id, _)| self.voters_without(id))
    }

    /// Removes the identity that a VM had before it lost its disk as soon as its new identity has caught up. Removes any other voter only if
    /// it has been silent and an observer that has caught up can take its place, since a group with one voter fewer tolerates fewer failures.
    fn step_to_count(
        &self,
        count: usize,
        promotable: &[(u64, &Progress)],
        is_silent: impl Fn(u64) -> bool,
    ) -> Option<Voters> {
        let former_identity = promotable
            .iter()
            .find_map(|(_, p)| self.voter_id_of(&p.name));
        if let Some(old) = former_identity {
            return Some(self.voters_without(old));
        }
        let (id, p) = promotable.first()?;
        if self.voters.len() < count {
            return Some(self.voters_with(*id, &p.name));
        }
        let silent_voter = self
            .voters
            .iter()
            .map(|(id, _)| id)
            .find(|id| *id != self.config.id && is_silent(*id));
        silent_voter.map(|id| self.voters_without(id))
    }

    fn voter_id_of(&self, name: &str) -> Option<u64> {
        self.voters
            .iter()
            .find(|(_, voter)| ***voter == *name)
            .map(|(id, _)| id)
    }

    fn voters_without(&self, id: u64) -> Voters {
        let members: Vec<Member> = self
            .voters
            .to_members()
            .into_iter()
            .filter(|member| member.id != id)
            .collect();
        Voters::new(&members)
    }

    fn voters_with(&self, id: u64, name: &Arc<str>) -> Voters {
        let mut members = self.voters.to_members();
        members.push(Member {
            id,
            name: name.to_string(),
        });
        Voters::new(&members)
    }
}
