//! The place of one connection in the table.

use super::Connections;
use super::Resource;
use super::Shortage;
use super::Stage;
use super::state::State;
use std::rc::Rc;

/// The place of one connection in the table of connections. Dropping it gives up the place and the memory.
pub struct Slot {
    table: Rc<Connections>,
    id: u64,
    state: Rc<State>,
}

impl Slot {
    pub(super) fn new(table: Rc<Connections>, id: u64, state: Rc<State>) -> Self {
        Self { table, id, state }
    }

    /// What the connection is doing.
    pub fn stage(&self) -> Stage {
        self.state.stage.get()
    }

    /// Says what the connection is doing from now on.
    pub fn enter(&self, stage: Stage) {
        if stage == Stage::Sending {
            self.state.answered.set(true);
        }
        self.table.set_stage(&self.state, stage);
    }

    /// Takes note that the client has taken some bytes of its answer.
    pub fn note_progress(&self) {
        self.table.set_stage(&self.state, self.stage());
    }

    /// Takes `bytes` of memory for a request that is being read or an answer.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub async fn grow(&self, bytes: u64) -> Result<(), Shortage> {
        self.table.grow(&self.state, bytes, false).await
    }

    /// Takes `bytes` of memory for a request that has been read, before any that has not.
    ///
    /// # Errors
    ///
    /// If there is no room for them.
    pub async fn grow_complete(&self, bytes: u64) -> Result<(), Shortage> {
        self.table.grow(&self.state, bytes, true).await
    }

    /// Takes `bytes` of memory for an answer, once there is room for them.
    ///
    /// # Errors
    ///
    /// If the connection must give way meanwhile.
    pub async fn grow_for_answer(&self, bytes: u64) -> Result<(), Shortage> {
        self.table.grow_for_answer(&self.state, bytes).await
    }

    /// Memory that the connection holds, in bytes.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.get()
    }

    /// Gives back memory, so that `bytes` are left at most.
    pub fn shrink_to(&self, bytes: u64) {
        let left = self.state.bytes.get().min(bytes);
        self.table.set_bytes(&self.state, left);
    }

    /// Returns once the connection must give way.
    pub async fn evicted(&self) {
        self.state.evicted.cancelled().await;
    }

    /// What the connection must give way for, if it must.
    pub fn evicted_for(&self) -> Option<Resource> {
        self.state.evicted_for.get()
    }

    /// The table.
    pub fn table(&self) -> &Connections {
        &self.table
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.table.remove(self.id, &self.state);
    }
}
