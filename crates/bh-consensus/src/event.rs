//! What a replica reacts to.

use bh_protocol::wire::RaftMessage;

/// One input of [`crate::Replica::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another replica.
    Receive(RaftMessage),
    /// A command to replicate; `ticket` comes back in [`crate::Output::Appended`] or [`crate::Output::Refused`].
    Propose {
        /// Chosen by the driver.
        ticket: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// A read that must see all that was committed before it; `ticket` comes back in [`crate::Output::ReadAt`].
    Read {
        /// Chosen by the driver.
        ticket: u64,
    },
    /// A batch of proposals and reads is complete: send them on. Without it they wait for the next heartbeat.
    Flush,
    /// The state machine was saved as of `index`; the log before it may go.
    Compact {
        /// Last index that the snapshot covers.
        index: u64,
        /// The state machine.
        state: Vec<u8>,
    },
}
