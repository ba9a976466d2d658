//! The table of all connections of clients.

use super::ConnectionLimits;
use super::Figures;
use super::Resource;
use super::Shortage;
use super::Slot;
use super::Stage;
use super::eviction;
use super::state::State;
use crate::Clock;
use crate::runtime::rest;
use crate::runtime::sleep_ms;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// In place of a listener's number, for what holds memory and is no connection.
const NO_LISTENER: u64 = 0;
/// Memory up to which a request counts as small, in bytes.
const SMALL_BYTES: u64 = 128 << 10;
/// Time between checks for room while no connection can give way, in milliseconds.
const POLL_MS: u64 = 10;
/// Shortest time between two log lines about connections that had to give way, in milliseconds.
const LOG_INTERVAL_MS: u64 = 10_000;

/// All connections of clients to a process, with what they hold.
pub struct Connections {
    limits: ConnectionLimits,
    clock: Clock,
    open: RefCell<BTreeMap<u64, Rc<State>>>,
    open_connections: Cell<usize>,
    next_id: Cell<u64>,
    large_bytes: Cell<u64>,
    figures: Cell<Figures>,
    last_log_ms: Cell<Option<u64>>,
}

impl Connections {
    /// Creates an empty table.
    pub fn new(clock: Clock, limits: ConnectionLimits) -> Rc<Self> {
        let figures = Figures {
            max_open: u64::try_from(limits.max_open).unwrap_or(u64::MAX),
            max_bytes: limits.max_bytes,
            ..Figures::default()
        };
        Rc::new(Self {
            limits,
            clock,
            open: RefCell::new(BTreeMap::new()),
            open_connections: Cell::new(0),
            next_id: Cell::new(NO_LISTENER + 1),
            large_bytes: Cell::new(0),
            figures: Cell::new(figures),
            last_log_ms: Cell::new(None),
        })
    }

    /// The limits.
    pub fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// The figures of now.
    pub fn figures(&self) -> Figures {
        Figures {
            open: u64::try_from(self.open_connections.get()).unwrap_or(u64::MAX),
            ..self.figures.get()
        }
    }

    /// A number for a new listener.
    pub fn add_listener(&self) -> u64 {
        self.new_id()
    }

    fn new_id(&self) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    /// Takes `bytes` of memory for a call that came over a link and is being carried out.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub async fn claim(self: &Rc<Self>, bytes: u64) -> Result<Slot, Shortage> {
        let slot = self.account();
        slot.grow_complete(bytes).await?;
        Ok(slot)
    }

    /// Adds something that holds memory, is no connection of a client, and never gives way. It holds none yet.
    pub fn account(self: &Rc<Self>) -> Slot {
        let slot = self.add(NO_LISTENER);
        slot.enter(Stage::Executing);
        slot
    }

    /// Adds a connection that `listener` has accepted, without regard to the limits.
    fn add(self: &Rc<Self>, listener: u64) -> Slot {
        let id = self.new_id();
        if listener != NO_LISTENER {
            self.open_connections.set(self.open_connections.get() + 1);
        }
        let state = Rc::new(State::new(listener, self.clock.now_ms()));
        self.open.borrow_mut().insert(id, state.clone());
        Slot::new(self.clone(), id, state)
    }

    /// Adds a connection that `listener` has accepted, once there is room for it. The listener may have `max_open` connections.
    pub async fn add_when_possible(self: &Rc<Self>, listener: u64, max_open: usize) -> Slot {
        loop {
            let is_full = self.open_connections.get() >= self.limits.max_open;
            // The connections of a listener are counted only where all of them would be too many.
            let may_be_full = self.open_connections.get() >= max_open;
            let is_listener_full = may_be_full && self.open_at(listener) >= max_open;
            if !is_full && !is_listener_full {
                return self.add(listener);
            }
            let only = is_listener_full.then_some(listener);
            if self.evict_for_connection(only) {
                rest().await;
            } else {
                sleep_ms(POLL_MS).await;
            }
        }
    }

    /// Number of open connections that `listener` has accepted.
    pub fn open_at(&self, listener: u64) -> usize {
        let open = self.open.borrow();
        open.values()
            .filter(|state| state.listener == listener)
            .count()
    }

    /// Makes one connection give way to another one, one of `listener` if it is given; returns whether there was one, or one is closing.
    pub fn evict_for_connection(&self, listener: Option<u64>) -> bool {
        let open = self.open.borrow();
        let candidates = || {
            let of_listener =
                move |state: &&Rc<State>| listener.is_none_or(|only| state.listener == only);
            open.values().filter(of_listener)
        };
        if candidates().any(|state| state.evicted_for.get() == Some(Resource::Connection)) {
            return true;
        }
        let Some(state) = eviction::for_connection(candidates(), self.clock.now_ms()) else {
            return false;
        };
        state.evict(Resource::Connection);
        self.count(|figures| figures.evicted_for_connections += 1);
        true
    }

    /// Gives `bytes` to a connection, or says why there is no room for them. Other connections give way; with `is_complete`, also those that
    /// began later.
    pub(super) async fn grow(
        &self,
        own: &Rc<State>,
        bytes: u64,
        is_complete: bool,
    ) -> Result<(), Shortage> {
        let wanted = own.bytes.get().saturating_add(bytes);
        if wanted > self.limits.max_large_bytes {
            return Err(Shortage::TooLarge);
        }
        loop {
            let missing = self.missing(own, bytes);
            if missing == 0 {
                self.set_bytes(own, wanted);
                return Ok(());
            }
            if own.evicted_for.get().is_some()
                || !self.evict_for_memory(own, wanted, missing, is_complete)
            {
                self.count(|figures| figures.refused_busy += 1);
                return Err(Shortage::Busy);
            }
            rest().await;
        }
    }

    /// Gives `bytes` to a connection for its answer, once there is room for them; fails if the connection must give way meanwhile.
    pub(super) async fn grow_for_answer(
        &self,
        own: &Rc<State>,
        bytes: u64,
    ) -> Result<(), Shortage> {
        // An answer that is larger than all memory for large ones is sent once nothing else is.
        let wanted = own.bytes.get().saturating_add(bytes);
        let wanted = wanted.min(self.limits.max_large_bytes);
        let bytes = wanted.saturating_sub(own.bytes.get());
        loop {
            if own.evicted_for.get().is_some() {
                return Err(Shortage::Busy);
            }
            let missing = self.missing(own, bytes);
            if missing == 0 {
                self.set_bytes(own, wanted);
                return Ok(());
            }
            self.evict_for_memory(own, wanted, missing, true);
            sleep_ms(POLL_MS).await;
        }
    }

    /// Number of bytes that must be given up before a connection can have `bytes` more.
    fn missing(&self, own: &State, bytes: u64) -> u64 {
        let wanted = own.bytes.get() + bytes;
        let used_bytes = self.figures.get().used_bytes + bytes;
        let over_all = used_bytes.saturating_sub(self.limits.max_bytes);
        if wanted <= SMALL_BYTES {
            return over_all;
        }
        let held_as_large = if is_large(own) { own.bytes.get() } else { 0 };
        let large_bytes = self.large_bytes.get() - held_as_large + wanted;
        let over_large = large_bytes.saturating_sub(self.limits.max_large_bytes);
        over_all.max(over_large)
    }

    /// Makes connections give way until `missing` bytes become free; returns whether they will.
    fn evict_for_memory(
        &self,
        own: &Rc<State>,
        wanted: u64,
        missing: u64,
        is_complete: bool,
    ) -> bool {
        let open = self.open.borrow();
        let is_small = wanted <= SMALL_BYTES;
        // Small requests do not help a large one: they have memory of their own.
        let counts = |state: &State| is_small || is_large(state);
        let leaving = open
            .values()
            .filter(|state| state.is_leaving() && counts(state));
        let mut freed: u64 = leaving.map(|state| state.bytes.get()).sum();
        let mut victims = Vec::new();
        let others = open
            .values()
            .filter(|state| !Rc::ptr_eq(state, own) || !is_complete);
        for state in eviction::for_memory(others, self.clock.now_ms(), is_large) {
            if freed >= missing {
                break;
            }
            if Rc::ptr_eq(state, own) {
                return false;
            }
            if counts(state) {
                freed += state.bytes.get();
                victims.push(state);
            }
        }
        if freed < missing {
            return false;
        }
        for state in victims {
            state.evict(Resource::Memory);
            self.count(|figures| figures.evicted_for_memory += 1);
        }
        true
    }

    /// Sets the memory of a connection.
    pub(super) fn set_bytes(&self, own: &State, bytes: u64) {
        let mut figures = self.figures.get();
        let mut large_bytes = self.large_bytes.get();
        if is_large(own) {
            large_bytes -= own.bytes.get();
        }
        figures.used_bytes = figures.used_bytes - own.bytes.get() + bytes;
        figures.peak_bytes = figures.peak_bytes.max(figures.used_bytes);
        own.bytes.set(bytes);
        if is_large(own) {
            large_bytes += bytes;
        }
        self.large_bytes.set(large_bytes);
        self.figures.set(figures);
    }

    /// Sets what a connection is doing.
    pub(super) fn set_stage(&self, own: &State, stage: Stage) {
        own.stage.set(stage);
        own.since_ms.set(self.clock.now_ms());
    }

    /// Removes a connection.
    pub(super) fn remove(&self, id: u64, own: &State) {
        self.set_bytes(own, 0);
        if own.listener != NO_LISTENER {
            self.open_connections.set(self.open_connections.get() - 1);
        }
        self.open.borrow_mut().remove(&id);
    }

    /// Takes note of a body that is refused since it is too large.
    pub fn note_too_large(&self) {
        self.count(|figures| figures.refused_too_large += 1);
    }

    fn count(&self, change: impl FnOnce(&mut Figures)) {
        let mut figures = self.figures.get();
        change(&mut figures);
        self.figures.set(figures);
        let now_ms = self.clock.now_ms();
        let is_due = |last_ms: u64| now_ms >= last_ms + LOG_INTERVAL_MS;
        if !self.last_log_ms.get().is_none_or(is_due) {
            return;
        }
        self.last_log_ms.set(Some(now_ms));
        log::warn!(
            used_bytes = figures.used_bytes, max_bytes = figures.max_bytes, max_open = figures.max_open,
            evicted_for_connections = figures.evicted_for_connections, evicted_for_memory = figures.evicted_for_memory,
            refused_busy = figures.refused_busy, refused_too_large = figures.refused_too_large;
            "clients are refused or disconnected: no room for their requests or connections"
        );
    }
}

fn is_large(state: &State) -> bool {
    state.bytes.get() > SMALL_BYTES
}
