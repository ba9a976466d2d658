//! Formation of a group: one founder names the first voters, and only while all of them are new.

use crate::handle::Group;
use bh_net::runtime::sleep_ms;
use bh_protocol::wire::Member;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;

/// Interval between two rounds of requests to the other first voters, in milliseconds.
const ASK_INTERVAL_MS: u64 = 100;

/// A VM's answer about its replica of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Formation {
    /// Identity of the replica.
    pub replica: u64,
    /// The voters that the replica knows; empty until it belongs to a group.
    pub members: Vec<(u64, String)>,
}

impl Formation {
    /// The answer of this VM.
    pub fn of<S>(group: &Group<S>, replica: u64) -> Self {
        let members = group
            .status()
            .members
            .into_iter()
            .map(|member| (member.id, member.name))
            .collect();
        Self { replica, members }
    }
}

/// Takes part in forming the group if this VM is one of its first voters, and returns once this replica's log has an entry.
///
/// The founder is the first voter by name. It forms the group only if every first voter answers that it is new. A voter that lost its disk
/// looks new: if it could form a second group with some of the others beside the first group, both would accept changes. Each other first
/// voter forms the group when a replica that is already formed names its identity as a voter. A VM whose identity is not named waits until
/// the leader adds it as an observer.
pub async fn form<S, F: Future<Output = Option<Formation>>>(
    group: Group<S>,
    own_name: Arc<str>,
    own_replica_id: u64,
    first_voters: BTreeSet<Arc<str>>,
    ask: impl Fn(Arc<str>) -> F,
) {
    if !first_voters.contains(&own_name) {
        return;
    }
    let is_founder = first_voters.first() == Some(&own_name);
    while group.status().last_index == 0 {
        let mut answers: BTreeMap<Arc<str>, Formation> = BTreeMap::new();
        answers.insert(
            own_name.clone(),
            Formation {
                replica: own_replica_id,
                members: Vec::new(),
            },
        );
        for name in first_voters.iter().filter(|name| **name != own_name) {
            if let Some(answer) = ask(name.clone()).await {
                answers.insert(name.clone(), answer);
            }
        }
        if let Some(formed) = answers.values().find(|answer| !answer.members.is_empty()) {
            if formed.members.iter().any(|(id, _)| *id == own_replica_id) {
                group.form(to_members(&formed.members));
            }
            // Otherwise this replica is not one of the voters, and the leader makes it one once it has caught up.
        } else if is_founder && answers.len() == first_voters.len() {
            let members = answers
                .iter()
                .map(|(name, answer)| Member {
                    id: answer.replica,
                    name: name.to_string(),
                })
                .collect();
            group.form(members);
        }
        sleep_ms(ASK_INTERVAL_MS).await;
    }
}

fn to_members(members: &[(u64, String)]) -> Vec<Member> {
    members
        .iter()
        .map(|(id, name)| Member {
            id: *id,
            name: name.clone(),
        })
        .collect()
}
