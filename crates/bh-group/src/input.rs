//! Inputs of a group's driver.

use bh_protocol::Failure;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;
use local_sync::oneshot;

/// One input of a [`super::Driver`].
pub enum Input {
    /// A message from another replica.
    Message(RaftMessage),
    /// A command to replicate; the answer is the state machine's.
    Propose {
        /// The command.
        command: Vec<u8>,
        /// Channel for the answer.
        reply: oneshot::Sender<Result<Vec<u8>, Failure>>,
    },
    /// A read that must see everything that was committed before it.
    Read {
        /// Gets `Ok` once the local state may be read.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// Forms the group with these first voters, if the log is empty.
    Form(Vec<Member>),
}
