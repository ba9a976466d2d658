//! Outbound links of a process to cores.

use super::Peer;
use super::dial;
use bh_net::Clock;
use bh_net::link::LinkKey;
use bh_protocol::wire::Hello;
use std::cell::Cell;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

/// Time between heartbeats on a link, in milliseconds: two of them fit into the silence after which no more calls are sent.
pub const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Silence after which no call is sent over a link, in milliseconds. A call that was sent may have been recorded, and its caller can only
/// be told that the outcome is unknown; a call that was not sent can be refused and retried elsewhere.
pub(super) const MAX_CALL_SILENCE_MS: u64 = 500;
/// Silence after which a link is closed and dialled again, in milliseconds. A connection can go silent for good while new ones work.
/// Callers wait about three seconds, so half of that is left for another attempt.
pub const LINK_TIMEOUT_MS: u64 = 1_300;

/// Number of cores up to which every process has a link to each of them.
const MAX_FULL_MESH: usize = 10;
/// Number of links that an entry has where there are more cores. If it had one to each, the links and their heartbeats would grow with
/// entries times cores. All of a few links chosen by chance are hardly lost at once, and others are opened then.
const ENTRY_LINKS: usize = 4;

/// Time within which most elections end, in milliseconds.
const ELECTION_MS: u64 = 1_500;

/// Callback that receives all known cores.
type OnCoresAdded = Box<dyn Fn(&[SocketAddr])>;

/// Outbound links to the known cores, or to some of them.
pub struct Mesh {
    /// How this process introduces itself.
    hello: Hello,
    /// Key that authenticates the frames on links.
    pub(super) key: LinkKey,
    /// The process's clock.
    pub(super) clock: Clock,
    /// Cancelled when the process ends.
    pub(super) stop: CancellationToken,
    /// Number of links that are enough where a full mesh would be too large; `None` if this process has a link to each core in any case.
    enough_links: Option<usize>,
    peers: RefCell<BTreeMap<SocketAddr, Rc<Peer>>>,
    cores_added_callback: RefCell<OnCoresAdded>,
    leader_last_contact_ms: Cell<u64>,
    /// Cancelled and replaced whenever another core becomes the one that calls are sent to as the leader.
    leader_change: RefCell<CancellationToken>,
}

impl Mesh {
    /// Creates the mesh of a core, without links.
    pub fn new(hello: Hello, clock: Clock, stop: CancellationToken) -> Rc<Self> {
        Self::with_enough_links(hello, clock, stop, None)
    }

    /// Creates the mesh of an entry, without links. Where there are many cores it links to a few of them, which relay its calls to the leader.
    pub fn of_entry(hello: Hello, clock: Clock, stop: CancellationToken) -> Rc<Self> {
        Self::with_enough_links(hello, clock, stop, Some(ENTRY_LINKS))
    }

    fn with_enough_links(
        hello: Hello,
        clock: Clock,
        stop: CancellationToken,
        enough_links: Option<usize>,
    ) -> Rc<Self> {
        // The platform gives its processes no secret, so the authentication code of each frame protects against corruption only.
        let key = LinkKey::new(*b"beechhollow links without secret");
        Rc::new(Self {
            hello,
            key,
            clock,
            stop,
            enough_links,
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
            let preference = xxh3_64(format!("{} {address}", self.hello.name).as_bytes());
            let peer = Rc::new(Peer::new(address, preference));
            self.peers.borrow_mut().insert(address, peer);
            added = true;
        }
        if added {
            self.open_wanted_links();
            (self.cores_added_callback.borrow())(&self.known());
        }
    }

    /// Whether this process has links to some cores only, which relay its calls.
    fn is_partial(&self) -> bool {
        self.enough_links.is_some() && self.peers.borrow().len() > MAX_FULL_MESH
    }

    /// The cores that this process should have links to. In a partial mesh these are the first ones in an order of its own, until enough of
    /// them are sound: not known to fail, and in contact with the leader. After a split the first ones may all be on the side without it. If
    /// there is no leader, more links do not help, so that only a few cores without contact are passed over, and none during an election.
    fn wanted(&self) -> Vec<Rc<Peer>> {
        let mut peers = self.peers();
        let Some(enough) = self.enough_links.filter(|_| self.is_partial()) else {
            return peers;
        };
        peers.sort_by_key(|peer| peer.preference);
        let may_be_electing = self.fresh_leader().is_none()
            && self.now_ms() < self.leader_last_contact_ms() + ELECTION_MS;
        let (mut sound, mut without_leader) = (0, 0);
        let is_wanted = |peer: &Rc<Peer>| {
            let is_wanted = sound < enough;
            let lacks_leader = peer.is_linked() && peer.leader_term() == 0 && !may_be_electing;
            if peer.has_failed.get() || peer.is_draining() {
                return is_wanted;
            }
            if lacks_leader && without_leader < enough {
                without_leader += 1;
            } else {
                sound += 1;
            }
            is_wanted
        };
        peers.into_iter().take_while(is_wanted).collect()
    }

    /// Opens the wanted links that no task keeps yet.
    pub(super) fn open_wanted_links(self: &Rc<Self>) {
        for peer in self.wanted() {
            if !peer.is_kept.replace(true) {
                monoio::spawn(dial::keep_link(self.clone(), peer));
            }
        }
    }

    /// Whether a link to `peer` is not needed, because enough of the wanted links are open.
    pub(super) fn is_spare(&self, peer: &Rc<Peer>) -> bool {
        if !self.is_partial() {
            return false;
        }
        let wanted = self.wanted();
        let open = wanted.iter().filter(|peer| peer.is_linked()).count();
        let is_enough = self.enough_links.is_none_or(|enough| open >= enough);
        is_enough && !wanted.iter().any(|other| Rc::ptr_eq(other, peer))
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

    /// The core over which calls reach the leader: the one that claims to lead, or in a partial mesh one that has contact with the leader.
    /// If several cores claim to lead, the one with the highest term counts.
    pub fn leader(&self) -> Option<Rc<Peer>> {
        let is_partial = self.is_partial();
        let reaches_leader = |peer: &&Rc<Peer>| {
            let relays = is_partial && peer.leader_term() > 0 && !peer.is_draining();
            peer.is_linked() && (peer.status.borrow().leads || relays)
        };
        let now_ms = self.now_ms();
        let leader = self
            .peers
            .borrow()
            .values()
            .filter(reaches_leader)
            .max_by_key(|peer| {
                let leads = peer.status.borrow().leads;
                let is_fresh = peer.is_fresh(now_ms);
                (
                    peer.leader_term(),
                    is_fresh,
                    leads,
                    Reverse(peer.preference),
                )
            })
            .cloned();
        if let Some(leader) = &leader {
            self.leader_last_contact_ms.set(
                self.leader_last_contact_ms
                    .get()
                    .max(leader.leader_contact_ms()),
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
        Some(self.fresh_leader()?.leader_term())
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
