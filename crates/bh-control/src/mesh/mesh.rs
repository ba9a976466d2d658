//! The links of a process to the cores.

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

/// Time between signs of life on a link, in milliseconds: two fit into the silence after which nothing is sent into it.
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Silence after which no call is sent into a link, in milliseconds. A call that was sent may have been recorded, and its caller can only be
/// told that nobody knows; one that was held back can be refused and tried elsewhere.
pub(super) const MAX_CALL_SILENCE_MS: u64 = 500;
/// Silence after which a link is given up and dialled anew, in milliseconds. A connection can go silent for good while new ones
/// work; callers wait about three seconds, so half of that is left for another try.
pub const LINK_TIMEOUT_MS: u64 = 1_300;

/// Takes all known cores.
type OnCoresAdded = Box<dyn Fn(&[SocketAddr])>;

/// Links to all cores that are known.
pub struct Mesh {
    /// What this process says of itself.
    hello: Hello,
    /// Key of the links.
    pub(super) key: LinkKey,
    /// The process's clock.
    pub(super) clock: Clock,
    /// Cancelled when the process ends.
    pub(super) stop: CancellationToken,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    cores_added_callback: RefCell<OnCoresAdded>,
    leader_last_contact_ms: Cell<u64>,
    /// Cancelled, and replaced, when another core can be sent calls as the leader than before.
    leader_change: RefCell<CancellationToken>,
}

impl Mesh {
    /// A mesh without links.
    pub fn new(hello: Hello, clock: Clock, stop: CancellationToken) -> Rc<Self> {
        // The platform gives its processes no secret; the code of each frame then only guards against damage.
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

    /// Calls `learnt` with all known cores whenever another one is learnt of.
    pub fn on_cores_added(&self, callback: impl Fn(&[SocketAddr]) + 'static) {
        *self.cores_added_callback.borrow_mut() = Box::new(callback);
    }

    /// What this process says of itself.
    pub fn hello(&self) -> Hello {
        self.hello.clone()
    }

    /// Milliseconds on the process's clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Learns of cores, and dials those that were not known.
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

    /// All known cores but this one.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.peers.borrow().keys().copied().collect()
    }

    /// The cores.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().values().cloned().collect()
    }

    /// Links to cores that are open.
    pub fn links_open(&self) -> usize {
        let peers = self.peers.borrow();
        peers.values().filter(|peer| peer.is_linked()).count()
    }

    /// The core with this address.
    pub fn peer(&self, address: SocketAddr) -> Option<Rc<Peer>> {
        self.peers.borrow().get(&address).cloned()
    }

    /// The core whose replica has this identity.
    pub fn peer_by_replica(&self, replica: u64) -> Option<Rc<Peer>> {
        self.peers
            .borrow()
            .values()
            .filter(|peer| peer.replica.get() == replica)
            .max_by_key(|peer| peer.is_linked())
            .cloned()
    }

    /// The core that leads, as far as is known: of several that say so the one with the highest term.
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

    /// The same, when it was heard lately enough to be sent a call.
    pub fn fresh_leader(&self) -> Option<Rc<Peer>> {
        let now_ms = self.now_ms();
        self.leader().filter(|leader| leader.is_fresh(now_ms))
    }

    /// The term in which [`Self::fresh_leader`] leads, if there is one.
    pub fn fresh_term(&self) -> Option<u64> {
        let leader = self.fresh_leader()?;
        Some(leader.status.borrow().term)
    }

    /// Returns once another core than now can be sent calls as the leader. Those who wait go on in the order in which they came, so that no
    /// call overtakes an earlier one by chance.
    pub async fn leader_change(&self) {
        let change = self.leader_change.borrow().clone();
        change.cancelled().await;
    }

    /// Takes a sign of life of a core with `note`, and lets those go on who wait for a leader when there is another one now.
    pub(super) fn observe_contact(&self, note: impl FnOnce()) {
        let before = self.fresh_term();
        note();
        if self.fresh_term() != before {
            self.leader_change
                .replace(CancellationToken::new())
                .cancel();
        }
    }

    /// When a leader was last heard, on the process's clock in milliseconds; 0 before the first.
    pub fn leader_last_contact_ms(&self) -> u64 {
        self.leader_last_contact_ms.get()
    }
}
