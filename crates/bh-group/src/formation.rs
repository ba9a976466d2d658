//! How a group comes to be: one founder names the first voters, and only while all of them are new.

use crate::handle::Group;
use bh_net::runtime::sleep_ms;
use bh_protocol::wire::Member;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::future::Future;
use std::sync::Arc;

/// Time between questions, in milliseconds.
const ASK_MS: u64 = 100;

/// What a VM says about its replica of a group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Formation {
    /// Identity of its replica.
    pub replica: u64,
    /// The voters it knows; empty while it knows of no group.
    pub members: Vec<(u64, String)>,
}

impl Formation {
    /// What this VM says.
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

/// Forms the group when this VM is one of its first voters.
///
/// The founder is the first by name. It forms the group when every first voter answers that it is new, and never
/// otherwise: a voter that lost its disk looks new, and if it and another could form a second group beside the first,
/// both would accept changes. The others take part when a formed replica names their identity. A VM with another
/// identity than the one named waits to be let in as an observer.
pub async fn form<S, F: Future<Output = Option<Formation>>>(
    group: Group<S>,
    own_name: Arc<str>,
    own_replica: u64,
    wanted: BTreeSet<Arc<str>>,
    ask: impl Fn(Arc<str>) -> F,
) {
    if !wanted.contains(&own_name) {
        return;
    }
    let is_founder = wanted.first() == Some(&own_name);
    while group.status().last_index == 0 {
        let mut answers: BTreeMap<Arc<str>, Formation> = BTreeMap::new();
        answers.insert(
            own_name.clone(),
            Formation {
                replica: own_replica,
                members: Vec::new(),
            },
        );
        for name in wanted.iter().filter(|name| **name != own_name) {
            if let Some(answer) = ask(name.clone()).await {
                answers.insert(name.clone(), answer);
            }
        }
        if let Some(formed) = answers.values().find(|answer| !answer.members.is_empty()) {
            if formed.members.iter().any(|(id, _)| *id == own_replica) {
                group.form(to_members(&formed.members));
            }
            // Otherwise this VM is not one of the voters: the leader adds it when it has caught up.
        } else if is_founder && answers.len() == wanted.len() {
            let members = answers
                .iter()
                .map(|(name, answer)| Member {
                    id: answer.replica,
                    name: name.to_string(),
                })
                .collect();
            group.form(members);
        }
        sleep_ms(ASK_MS).await;
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
