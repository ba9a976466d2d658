//! The voters of a group and their majorities.

use bh_protocol::wire::Member;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The current voters: identity and VM name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Voters {
    members: BTreeMap<u64, Arc<str>>,
}

impl Voters {
    pub fn new(members: &[Member]) -> Self {
        Self {
            members: members
                .iter()
                .map(|member| (member.id, Arc::from(member.name.as_str())))
                .collect(),
        }
    }

    pub fn contains(&self, id: u64) -> bool {
        self.members.contains_key(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &Arc<str>)> {
        self.members.iter().map(|(id, name)| (*id, name))
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the voters for which `counts` is true are a majority.
    pub fn is_majority(&self, counts: impl Fn(u64) -> bool) -> bool {
        let agreeing = self.members.keys().filter(|id| counts(**id)).count();
        agreeing * 2 > self.members.len()
    }

    /// Highest value that is reached by a majority of the voters, given each voter's `value`.
    pub fn quorum_value(&self, value: impl Fn(u64) -> u64) -> u64 {
        let mut values: Vec<u64> = self.members.keys().map(|id| value(*id)).collect();
        values.sort_unstable();
        match values.len() {
            0 => 0,
            count => values[(count - 1) / 2],
        }
    }

    pub fn to_members(&self) -> Vec<Member> {
        self.members
            .iter()
            .map(|(id, name)| Member {
                id: *id,
                name: name.to_string(),
            })
            .collect()
    }
}
