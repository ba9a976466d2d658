//! What a replica asks its driver to do.

use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;

/// One output of [`crate::Replica::step`].
///
/// The driver carries out the outputs of a batch of steps so: first every `Save*` output in order, then one sync, then
/// all others in order. Nothing may leave the process before the sync: a vote or acknowledgement that is forgotten by
/// a crash after it was sent breaks the group.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Keep the term and the vote.
    SaveVote {
        /// Current term.
        term: u64,
        /// Replica voted for; 0 for none.
        voted_for: u64,
    },
    /// Keep these entries; the first one replaces the log from its index on.
    SaveEntries(Vec<LogEntry>),
    /// Keep this snapshot in place of all before it, together with the entries that follow it.
    SaveSnapshot {
        /// Last index it covers.
        index: u64,
        /// Term of that index.
        term: u64,
        /// Voters as of that index.
        voters: Vec<Member>,
        /// The state machine.
        state: Vec<u8>,
        /// Term and vote to keep with it.
        vote: (u64, u64),
        /// Entries after it.
        entries: Vec<LogEntry>,
    },
    /// Send a message to the replica named in it.
    Send(RaftMessage),
    /// Send a message to every VM that may hold a replica of the group.
    Broadcast(RaftMessage),
    /// Replace the state machine by this snapshot.
    Restore {
        /// Last index it covers.
        index: u64,
        /// The state machine.
        state: Vec<u8>,
    },
    /// Apply these entries in order.
    Apply(Vec<LogEntry>),
    /// The proposal stands in the log; its answer is due when that index is applied with that term.
    Appended {
        /// Ticket of the proposal.
        ticket: u64,
        /// Index in the log.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// The proposal or read was not taken: this replica does not lead, and nothing was recorded.
    Refused {
        /// Ticket of the proposal or read.
        ticket: u64,
    },
    /// The read may be answered once `index` is applied.
    ReadAt {
        /// Ticket of the read.
        ticket: u64,
        /// Index that must be applied.
        index: u64,
    },
    /// The role or the known leader changed.
    RoleChanged,
}
