//! Calls that the leader has not answered yet.

use std::collections::BTreeSet;

/// Identifies an unanswered call: when it arrived, and its number among all calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    arrived_ms: u64,
    number: u64,
}

/// Calls that the leader has not answered yet.
#[derive(Clone, Debug, Default)]
pub struct OpenCalls {
    calls: BTreeSet<CallId>,
    arrivals: u64,
}

impl OpenCalls {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a call that arrives at `now_ms`.
    pub fn begin(&mut self, now_ms: u64) -> CallId {
        self.arrivals += 1;
        let id = CallId {
            arrived_ms: now_ms,
            number: self.arrivals,
        };
        self.calls.insert(id);
        id
    }

    /// Removes a call that was answered or given up.
    pub fn end(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// Removes all calls, as when another leader begins: the calls before it say nothing about its load.
    pub fn clear(&mut self) {
        self.calls.clear();
    }

    /// Returns when the oldest unanswered call arrived, in milliseconds.
    pub fn oldest_ms(&self) -> Option<u64> {
        self.calls.first().map(|call| call.arrived_ms)
    }
}
