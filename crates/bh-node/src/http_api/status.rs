//! `GET /v1/status`: the state of this entry, the process of a VM that takes callers' requests.

use super::answer;
use crate::group::Group;
use crate::node::Node;
use bh_protocol::settings::InForce;
use bytes::Bytes;
use http::Response;
use serde::Deserialize;
use serde::Serialize;
use std::rc::Rc;
use std::sync::Arc;

/// One replication group as this entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupView {
    /// Name of the group.
    pub name: Arc<str>,
    /// `leader`, `voter` or `observer`.
    pub role: String,
    /// Name of the leader's VM, if one is known.
    pub leader: Option<String>,
    /// Current term.
    pub term: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Index of the last log entry that the snapshot covers.
    pub snapshot_index: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Time since the entry last heard from the group's leader, in milliseconds; `None` before the first time.
    pub confirmed_ms: Option<u64>,
}

/// One link to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerView {
    /// Name of the entry.
    pub name: Arc<str>,
    /// The entry's data centre.
    pub data_centre: Arc<str>,
    /// Whether the link is open.
    pub linked: bool,
    /// Free slots according to the entry's latest heartbeat.
    pub free_slots: u32,
}

/// The state of an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Settings in force on the entry.
    pub in_force: InForce,
    /// Whether the load balancer should send callers to the entry.
    pub ready: bool,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Free slots on the usable targets (workers) that the entry owns under a lease, less one for each queued request.
    pub free_slots: u32,
    /// All slots on the targets that the entry owns, free or not.
    pub slots: u32,
    /// Bytes sent to other entries since the process started.
    pub link_bytes: u64,
    /// Replication groups that the entry takes part in.
    pub groups: Vec<GroupView>,
    /// Links to the other entries.
    pub peers: Vec<PeerView>,
}

pub(super) fn serve(node: &Rc<Node>) -> Response<Bytes> {
    let now_ms = node.clock.now_ms();
    let router = node.router.borrow();
    let groups =
        std::iter::once(&node.settings).chain(node.jobs.values().map(|local| &local.group));
    let status = EntryStatus {
        in_force: node.in_force(),
        ready: node.is_ready(),
        in_progress: node.in_progress.get(),
        queued: router.queued(),
        free_slots: router.spare_slots(now_ms),
        slots: router.owned_targets.slots(now_ms),
        link_bytes: node.link_bytes.get(),
        groups: groups.map(|group| view(node, group)).collect(),
        peers: node.peers.iter().map(peer_view).collect(),
    };
    answer::json(&status)
}

fn view(node: &Rc<Node>, group: &Group) -> GroupView {
    let status = group.status();
    let role = match (status.is_leader, status.is_voter) {
        (true, _) => "leader",
        (false, true) => "voter",
        (false, false) => "observer",
    };
    let leader = status
        .leader
        .and_then(|id| status.members.iter().find(|member| member.id == id));
    GroupView {
        name: group.name.clone(),
        role: role.to_owned(),
        leader: leader.map(|member| member.name.clone()),
        term: status.term,
        applied: status.applied,
        snapshot_index: status.snapshot_index,
        voters: status
            .members
            .iter()
            .map(|member| member.name.clone())
            .collect(),
        confirmed_ms: group.leader_contact_age_ms(node.clock.now_ms()),
    }
}

fn peer_view(peer: &Rc<crate::peers::Peer>) -> PeerView {
    PeerView {
        name: peer.vm.name.clone(),
        data_centre: peer.vm.data_centre.clone(),
        linked: peer.is_linked(),
        free_slots: peer.heartbeat.borrow().free_slots,
    }
}
