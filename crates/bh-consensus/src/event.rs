//! Inputs of a replica.

use bh_protocol::wire::RaftMessage;

/// One input of [`crate::Replica::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from another replica.
    Receive(RaftMessage),
    /// A command to replicate; `request_id` comes back in [`crate::Output::Appended`] or [`crate::Output::Refused`].
    Propose {
        /// Identifies the request; chosen by the driver.
        request_id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A read that must see everything that was committed before it; `request_id` comes back in [`crate::Output::ReadIndex`].
    Read {
        /// Identifies the request; chosen by the driver.
        request_id: u64,
    },
    /// A batch of proposals and reads is complete: send it to the others. Without this event the batch waits for the next heartbeat.
    Flush,
    /// The disk has little space left, or has enough again.
    LowOnSpace(bool),
    /// A snapshot of the state machine as of `index`; the replica may drop the log up to there.
    Compact {
        /// Last index that the snapshot covers.
        index: u64,
        /// The encoded state machine.
        state: Vec<u8>,
    },
}
