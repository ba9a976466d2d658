//! What reaches a group's driver.

use bh_protocol::Failure;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;
use local_sync::oneshot;

/// One input of a [`super::Driver`].
pub enum Input {
    /// A message of another replica.
    Message(RaftMessage),
    /// A command to replicate; the answer is the state machine's.
    Propose {
        /// The command.
        command: Vec<u8>,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Vec<u8>, Failure>>,
    },
    /// A read that must see all that was committed before it.
    Read {
        /// Where the word goes that the local state may be read now.
        reply: oneshot::Sender<Result<(), Failure>>,
    },
    /// The group's first voters are known.
    Form(Vec<Member>),
}
