//! What the node tells the other entries, and takes from them.

use super::Node;
use crate::peers::Peer;
use bh_protocol::wire::Heartbeat;
use bh_protocol::wire::Hello;
use bh_protocol::wire::RaftMessage;
use std::rc::Rc;

/// Heartbeats of a link within the election time.
const LINK_HEARTBEATS: u64 = 3;

impl Node {
    /// The first frame of a link.
    pub fn hello(&self) -> Hello {
        Hello {
            name: self.config.own.name.to_string(),
            data_centre: self.config.own.data_centre.to_string(),
            replica: self.replica,
            ..Hello::default()
        }
    }

    /// Time between heartbeats of a link, in milliseconds.
    pub fn link_heartbeat_ms(&self) -> u64 {
        (self.config.election_ms / LINK_HEARTBEATS).max(1)
    }

    /// What the other entries hear of this one.
    pub fn heartbeat(&self) -> Heartbeat {
        let now_ms = self.clock.now_ms();
        let in_force = self.in_force();
        Heartbeat {
            free_slots: self.router.borrow().spare_slots(now_ms),
            settings_revision: in_force.revision,
            draining: self.draining.is_cancelled(),
            settings_confirmed_ms: in_force.confirmed_ms,
        }
    }

    /// Takes another entry's heartbeat: its free slots take requests that find none here.
    pub fn note_heartbeat(&self, peer: &Rc<Peer>, heartbeat: Heartbeat) {
        let now_ms = self.clock.now_ms();
        let free_slots = if heartbeat.draining {
            None
        } else {
            Some(heartbeat.free_slots)
        };
        *peer.heartbeat.borrow_mut() = heartbeat;
        let decisions = {
            let mut router = self.router.borrow_mut();
            router.set_peer_free_slots(&peer.vm.name, free_slots);
            if router.queued() > 0 {
                router.tick(now_ms)
            } else {
                Vec::new()
            }
        };
        self.carry_out(decisions);
    }

    /// The link to another entry has closed.
    pub fn note_peer_gone(&self, peer: &Rc<Peer>) {
        self.router
            .borrow_mut()
            .set_peer_free_slots(&peer.vm.name, None);
    }

    /// Counts bytes sent to other entries.
    pub fn note_link_bytes(&self, bytes: usize) {
        self.link_bytes
            .set(self.link_bytes.get() + u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Hands a replication message to its group.
    pub fn deliver(&self, message: RaftMessage) {
        if *message.group == *self.settings.name {
            self.settings.deliver(message);
            return;
        }
        if let Some(jobs) = self
            .jobs
            .values()
            .find(|jobs| *jobs.group.name == *message.group)
        {
            jobs.group.deliver(message);
        }
    }

    /// Sends a replication message to the replica it names, or to every VM when it names none.
    pub fn send_raft(&self, message: RaftMessage) {
        if message.to == 0 {
            for peer in self.peers.iter() {
                peer.send_raft(message.clone());
            }
            return;
        }
        if let Some(peer) = self.peers.by_replica(message.to) {
            peer.send_raft(message);
        }
    }
}
