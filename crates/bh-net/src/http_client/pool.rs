//! Pool of idle connections, by address.

use super::Connection;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of idle connections to one address. A worker accepts 64 connections from all entries together, and an entry
/// never has more requests in progress on one worker than the worker has slots.
const MAX_IDLE: usize = 8;
/// Maximum idle time of a connection. A middlebox may drop the state of an idle connection, and a request on it would then wait
/// for its full timeout.
const MAX_IDLE_MS: u64 = 2_000;

struct IdleConnection {
    connection: Connection,
    since_ms: u64,
}

/// Pool of idle connections.
pub struct Pool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
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
    /// Creates an empty pool with the default limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits the idle connections to one address.
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Limits the idle time of a connection.
    pub fn with_max_idle_ms(mut self, max_idle_ms: u64) -> Self {
        self.max_idle_ms = max_idle_ms;
        self
    }

    /// Limits the idle connections to all addresses together.
    pub fn with_max_total(mut self, max_total: usize) -> Self {
        self.max_total = max_total;
        self
    }

    /// Number of idle connections to all addresses.
    fn total(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the most recently used connection to `address`, if there is one that has not expired.
    pub fn take(&self, address: SocketAddr, now_ms: u64) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let latest = idle.get_mut(&address)?.pop()?;
        if now_ms > latest.since_ms + self.max_idle_ms {
            idle.remove(&address);
            return None;
        }
        Some(latest.connection)
    }

    /// Returns a connection to the pool; closes it if it cannot be reused or the pool is full.
    pub fn give_back(&self, address: SocketAddr, connection: Connection, now_ms: u64) {
        if !connection.is_reusable() || self.total() >= self.max_total {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(address).or_default();
        if list.len() < self.max_idle {
            list.push(IdleConnection {
                connection,
                since_ms: now_ms,
            });
        }
    }

    /// Closes every idle connection to `address`; call it after a connection to that address got no answer.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes every idle connection.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections that have exceeded the maximum idle time.
    pub fn age_out(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|entry| now_ms <= entry.since_ms + self.max_idle_ms);
        }
        idle.retain(|_, list| !list.is_empty());
    }
}
