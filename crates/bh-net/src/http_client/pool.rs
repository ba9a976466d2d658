//! Connections kept open for reuse, by address.

use super::Connection;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Idle connections at most for one address; a worker takes 64 over all entries together, and an entry never has
/// more requests in progress on one worker than the worker has slots.
const MAX_IDLE: usize = 8;
/// An idle connection older than this is closed: a middlebox may have forgotten it, and a request sent into it would
/// wait for its whole time limit.
const MAX_IDLE_MS: u64 = 2_000;

struct Idle {
    connection: Connection,
    since_ms: u64,
}

/// Idle connections.
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    max_idle: usize,
    max_idle_ms: u64,
    max_total: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            idle: RefCell::new(BTreeMap::new()),
            max_idle: MAX_IDLE,
            max_idle_ms: MAX_IDLE_MS,
            max_total: usize::MAX,
        }
    }
}

impl Pool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps at most `max_idle` idle connections to one address.
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Keeps idle connections for `max_idle_ms`.
    pub fn with_max_idle_ms(mut self, max_idle_ms: u64) -> Self {
        self.max_idle_ms = max_idle_ms;
        self
    }

    /// Keeps at most `max_total` idle connections to all addresses together.
    pub fn with_max_total(mut self, max_total: usize) -> Self {
        self.max_total = max_total;
        self
    }

    /// Idle connections to all addresses.
    fn total(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the connection to `address` that was used last, if it is fresh enough.
    pub fn take(&self, address: SocketAddr, now_ms: u64) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let last = idle.get_mut(&address)?.pop()?;
        if now_ms > last.since_ms + self.max_idle_ms {
            idle.remove(&address);
            return None;
        }
        Some(last.connection)
    }

    /// Gives a connection back, if it can be used again.
    pub fn give_back(&self, address: SocketAddr, connection: Connection, now_ms: u64) {
        if !connection.is_reusable() || self.total() >= self.max_total {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        if list.len() < self.max_idle {
            list.push(Idle {
                connection,
                since_ms: now_ms,
            });
        }
    }

    /// Closes every idle connection to `address`, after one to it fell silent.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have been idle too long.
    pub fn age_out(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|entry| now_ms <= entry.since_ms + self.max_idle_ms);
        }
        idle.retain(|_, list| !list.is_empty());
    }
}
