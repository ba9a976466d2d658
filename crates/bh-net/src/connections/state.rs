//! One connection in the table.

use super::Resource;
use super::Stage;
use std::cell::Cell;
use tokio_util::sync::CancellationToken;

/// State of a connection, shared by its slot and the table.
#[derive(Debug)]
pub(super) struct State {
    /// Listener that accepted it.
    pub listener: u64,
    /// What it is doing.
    pub stage: Cell<Stage>,
    /// Since when, or the last progress of an answer, in milliseconds.
    pub since_ms: Cell<u64>,
    /// Whether it has had an answer.
    pub answered: Cell<bool>,
    /// Memory of its request or answer, in bytes.
    pub bytes: Cell<u64>,
    /// What it must give way for.
    pub evicted_for: Cell<Option<Resource>>,
    /// Cancelled when it must give way.
    pub evicted: CancellationToken,
}

impl State {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(listener: u64, now_ms: u64) -> Self {
        Self {
            listener,
            stage: Cell::new(Stage::Idle),
            since_ms: Cell::new(now_ms),
            answered: Cell::new(false),
            bytes: Cell::new(0),
            evicted_for: Cell::new(None),
            evicted: CancellationToken::new(),
        }
    }

    /// Whether it can still be told to give way.
    pub fn is_evictable(&self) -> bool {
        let may_end = matches!(
            self.stage.get(),
            Stage::Idle | Stage::Receiving | Stage::Sending
        );
        may_end && self.evicted_for.get().is_none()
    }

    /// Tells it to give way.
    pub fn evict(&self, resource: Resource) {
        self.evicted_for.set(Some(resource));
        self.evicted.cancel();
    }

    /// Whether it was told to give way and has not given up its memory yet.
    pub fn is_leaving(&self) -> bool {
        self.evicted_for.get().is_some() && self.stage.get() != Stage::Closing
    }
}
