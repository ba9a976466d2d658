//! Messages that the node sends to the other entries and receives from them.

use super::Node;
use crate::peers::Peer;
use bh_protocol::wire::Heartbeat;
use bh_protocol::wire::Hello;
use bh_protocol::wire::RaftMessage;
use std::rc::Rc;

/// Number of heartbeats that a link sends within the election timeout.
const LINK_HEARTBEATS: u64 = 3;

impl Node {
    /// The first message on a link.
    pub fn hello(&self) -> Hello {
        Hello {
            name: self.config.own.name.to_string(),
            data_centre: self.config.own.data_centre.to_string(),
            replica: self.replica,
            ..Hello::default()
        }
    }

    /// Time between heartbeats on a link, in milliseconds.
    pub fn link_heartbeat_ms(&self) -> u64 {
        (self.config.election_ms / LINK_HEARTBEATS).max(1)
    }

    /// The heartbeat that this entry sends to the others.
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

    /// Handles another entry's heartbeat: queued requests may be forwarded to its free slots.
    pub fn handle_heartbeat(&self, peer: &Rc<Peer>, heartbeat: Heartbeat) {
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
        self.deliver_decisions(decisions);
    }

    /// Handles a closed link: no requests are forwarded to that entry.
    pub fn handle_link_closed(&self, peer: &Rc<Peer>) {
        self.router
            .borrow_mut()
            .set_peer_free_slots(&peer.vm.name, None);
    }

    /// Counts bytes sent to other entries.
    pub fn count_link_bytes(&self, bytes: usize) {
        self.link_bytes
            .set(self.link_bytes.get() + u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Delivers a replication message to its group.
    pub fn deliver_raft(&self, message: RaftMessage) {
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
