//! Moves a group towards its wanted voters, one change at a time.

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
    /// Moves the voters one step towards the wanted set.
    ///
    /// A VM that came back without its data has a new identity under its old name. Its old identity is removed
    /// first and the new one added once it has caught up: it must not count as the voter it was, since it has
    /// forgotten what that one acknowledged. One change at a time keeps any two majorities overlapping.
    pub(crate) fn change_membership(&mut self, now_ms: u64) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let ready = self.commit >= leadership.first_index && self.log.last_change() <= self.commit;
        if !ready {
            return;
        }
        if let Some(next) = self.next_voters(now_ms, leadership) {
            for (id, name) in next.iter() {
                let start = self.log.last_index() + 1;
                if let Role::Leader(leadership) = &mut self.role
                    && id != self.config.id
                {
                    leadership
                        .progress
                        .entry(id)
                        .or_insert_with(|| Progress::new(name.clone(), true, start, now_ms));
                }
            }
            self.append_own(Vec::new(), next.to_members());
            self.replicate_all(now_ms);
            self.count_matches();
        }
    }

    fn next_voters(&self, now_ms: u64, leadership: &Leadership) -> Option<Voters> {
        let recent_ms = now_ms.saturating_sub(self.config.election_timeout_ms * 2);
        let caught_up =
            |p: &Progress| p.durable && p.heard_ms >= recent_ms && p.matched >= self.commit;
        let mut newcomers = leadership.progress.iter().filter(|(id, p)| {
            !self.voters.contains(**id) && self.config.voter_policy.admits(&p.name) && caught_up(p)
        });
        match &self.config.voter_policy {
            VoterPolicy::Names(names) => self.towards_names(names, newcomers.next()),
            VoterPolicy::Count {
                count,
                replace_after_ms,
            } => {
                let silent_ms = now_ms.saturating_sub(*replace_after_ms);
                let silent = |id: u64| {
                    leadership
                        .progress
                        .get(&id)
                        .is_some_and(|p| p.heard_ms < silent_ms)
                };
                let newcomers: Vec<(u64, &Progress)> = newcomers.map(|(id, p)| (*id, p)).collect();
                self.towards_count(*count, &newcomers, silent)
            }
        }
    }

    fn towards_names(
        &self,
        names: &BTreeSet<Arc<str>>,
        newcomer: Option<(&u64, &Progress)>,
    ) -> Option<Voters> {
        if let Some((id, p)) = newcomer {
            return Some(match self.voter_named(&p.name) {
                Some(old) => self.without(old),
                None => self.with(*id, &p.name),
            });
        }
        // A voter that is no longer wanted leaves once the wanted ones are all there; the leader itself last.
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
            .map(|(id, _)| self.without(id))
    }

    /// The identity a VM had before its disk was emptied leaves at once. Any other voter leaves only when it has been silent and
    /// a replica that has caught up can take its place: a group with one voter fewer stands one loss nearer to its end.
    fn towards_count(
        &self,
        count: usize,
        newcomers: &[(u64, &Progress)],
        silent: impl Fn(u64) -> bool,
    ) -> Option<Voters> {
        let emptied = newcomers
            .iter()
            .find_map(|(_, p)| self.voter_named(&p.name));
        if let Some(old) = emptied {
            return Some(self.without(old));
        }
        let (id, p) = newcomers.first()?;
        if self.voters.len() < count {
            return Some(self.with(*id, &p.name));
        }
        let gone = self
            .voters
            .iter()
            .map(|(id, _)| id)
            .find(|id| *id != self.config.id && silent(*id));
        gone.map(|id| self.without(id))
    }

    fn voter_named(&self, name: &str) -> Option<u64> {
        self.voters
            .iter()
            .find(|(_, voter)| ***voter == *name)
            .map(|(id, _)| id)
    }

    fn without(&self, id: u64) -> Voters {
        let members: Vec<Member> = self
            .voters
            .to_members()
            .into_iter()
            .filter(|member| member.id != id)
            .collect();
        Voters::new(&members)
    }

    fn with(&self, id: u64, name: &Arc<str>) -> Voters {
        let mut members = self.voters.to_members();
        members.push(Member {
            id,
            name: name.to_string(),
        });
        Voters::new(&members)
    }
}
