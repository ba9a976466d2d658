//! `GET /v1/status`: what this entry is and does.

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
    /// Term.
    pub term: u64,
    /// Last index applied.
    pub applied: u64,
    /// Last index the snapshot covers.
    pub snapshot_index: u64,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Milliseconds since the leader was heard; `None` before the first time.
    pub confirmed_ms: Option<u64>,
}

/// One link to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerView {
    /// Name of the entry.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether the link is open.
    pub linked: bool,
    /// Free slots it last reported.
    pub free_slots: u32,
}

/// What an entry says of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Settings in force.
    pub in_force: InForce,
    /// Whether the balancer shall send callers here.
    pub ready: bool,
    /// Requests in progress.
    pub in_progress: u32,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Free slots over the targets this entry owns.
    pub free_slots: u32,
    /// Slots over those targets.
    pub slots: u32,
    /// Bytes sent to other entries since the start.
    pub link_bytes: u64,
    /// Its groups.
    pub groups: Vec<GroupView>,
    /// Its links.
    pub peers: Vec<PeerView>,
}

pub(super) fn serve(node: &Rc<Node>) -> Response<Bytes> {
    let now_ms = node.clock.now_ms();
    let router = node.router.borrow();
    let groups = std::iter::once(&node.settings).chain(node.jobs.values().map(|jobs| &jobs.group));
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
        confirmed_ms: group.confirmed_ms(node.clock.now_ms()),
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
