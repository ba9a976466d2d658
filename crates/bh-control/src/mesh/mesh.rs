//! Outbound links of a process to all known cores.

use super::Peer;
use super::dial;
use bh_net::Clock;
use bh_net::link::LinkKey;
use bh_protocol::wire::Hello;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time between heartbeats on a link, in milliseconds: two of them fit into the silence after which no more calls are sent.
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Silence after which no call is sent over a link, in milliseconds. A call that was sent may have been recorded, and its caller can only
/// be told that the outcome is unknown; a call that was not sent can be refused and retried elsewhere.
pub(super) const MAX_CALL_SILENCE_MS: u64 = 500;
/// Silence after which a link is closed and dialled again, in milliseconds. A connection can go silent for good while new ones work.
/// Callers wait about three seconds, so half of that is left for another attempt.
pub const LINK_TIMEOUT_MS: u64 = 1_300;

/// Callback that receives all known cores.
type OnCoresAdded = Box<dyn Fn(&[SocketAddr])>;

/// Outbound links to all known cores.
pub struct Mesh {
    /// How this process introduces itself.
    hello: Hello,
    /// Key that authenticates the frames on links.
    pub(super) key: LinkKey,
    /// The process's clock.
    pub(super) clock: Clock,
    /// Cancelled when the process ends.
    pub(super) stop: CancellationToken,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    cores_added_callback: RefCell<OnCoresAdded>,
    leader_last_contact_ms: Cell<u64>,
    /// Cancelled and replaced whenever another core becomes the one that calls are sent to as the leader.
    leader_change: RefCell<CancellationToken>,
}

impl Mesh {
    /// Creates a mesh without links.
    pub fn new(hello: Hello, clock: Clock, stop: CancellationToken) -> Rc<Self> {
        // The platform gives its processes no secret, so the authentication code of each frame protects against corruption only.
        let key = LinkKey::new(*b"beechhollow links without secret");
        Rc::new(Self {
            hello,
            key,
            clock,
            stop,
            peers: RefCell::new(BTreeMap::new()),
            cores_added_callback: RefCell::new(Box::new(|_| {})),
            leader_last_contact_ms: Cell::new(0),
            leader_change: RefCell::new(CancellationToken::new()),
        })
    }

    /// Sets a callback that receives all known cores whenever one is added.
    pub fn on_cores_added(&self, callback: impl Fn(&[SocketAddr]) + 'static) {
        *self.cores_added_callback.borrow_mut() = Box::new(callback);
    }

    /// How this process introduces itself.
    pub fn hello(&self) -> Hello {
        self.hello.clone()
    }

    /// Current time on the process's clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Adds cores and dials those that are new.
    pub fn add_cores(self: &Rc<Self>, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut added = false;
        for address in addresses {
            if address.to_string() == self.hello.address
                || self.peers.borrow().contains_key(&address)
            {
                continue;
            }
            let peer = Rc::new(Peer::new(address));
            self.peers.borrow_mut().insert(address, peer.clone());
            monoio::spawn(dial::keep_link(self.clone(), peer));
            added = true;
        }
        if added {
            (self.cores_added_callback.borrow())(&self.known());
        }
    }

    /// Addresses of all known cores except this one.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.peers.borrow().keys().copied().collect()
    }

    /// All known cores except this one.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Number of open links to cores.
    pub fn links_open(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| peer.is_linked()).count()
    }

    /// The core at this address.
    pub fn peer(&self, address: SocketAddr) -> Option<Rc<Peer>> {
        self.peers.borrow().get(&address).cloned()
    }

    /// The core whose replica has this id.
    pub fn peer_by_replica(&self, replica: u64) -> Option<Rc<Peer>> {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.replica.get() == replica)
            .max_by_key(|peer| peer.is_linked())
            .cloned()
    }

    /// The core that claims to lead; if several do, the one with the highest term.
    pub fn leader(&self) -> Option<Rc<Peer>> {
        let leader = self
            .peers
            .borrow()
            .values()
            .filter(|peer| peer.is_linked() && peer.status.borrow().leads)
            .max_by_key(|peer| peer.status.borrow().term)
            .cloned();
        if let Some(leader) = &leader {
            self.leader_last_contact_ms.set(
                self.leader_last_contact_ms
                    .get()
                    .max(leader.last_contact_ms.get()),
            );
        }
        leader
    }

    /// The leader, if there was contact recently enough to send it a call.
    pub fn fresh_leader(&self) -> Option<Rc<Peer>> {
        let now_ms = self.now_ms();
        self.leader().filter(|leader| leader.is_fresh(now_ms))
    }

    /// The term in which [`Self::fresh_leader`] leads, if there is one.
    pub fn fresh_term(&self) -> Option<u64> {
        let leader = self.fresh_leader()?;
        Some(leader.status.borrow().term)
    }

    /// Returns once calls are sent to another core as the leader than now. Waiting tasks continue in the order in which they arrived, so
    /// that no call overtakes an earlier one.
    pub async fn leader_change(&self) {
        let change = self.leader_change.borrow().clone();
        change.cancelled().await;
    }

    /// Runs `note`, which records contact with a core, and wakes the tasks that wait for a leader if there is another one afterwards.
    pub(super) fn observe_contact(&self, note: impl FnOnce()) {
        let before = self.fresh_term();
        note();
        if self.fresh_term() != before {
            self.leader_change
                .replace(CancellationToken::new())
                .cancel();
        }
    }

    /// Last contact with a leader, on the process's clock in milliseconds; 0 before the first.
    pub fn leader_last_contact_ms(&self) -> u64 {
        self.leader_last_contact_ms.get()
    }
}
