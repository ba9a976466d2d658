//! Outputs of a replica: what it asks its driver to do.

use bh_protocol::wire::LogEntry;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;

/// One output of [`crate::Replica::step`].
///
/// For each batch of steps the driver executes every `Save*` output in order, syncs once, and then executes all other outputs in order.
/// Nothing may leave the process before the sync: if a crash loses a vote or an acknowledgement that was already sent, two leaders may be
/// elected in one term or committed entries lost.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Save the term and the vote.
    SaveVote {
        /// Current term.
        term: u64,
        /// Replica voted for; 0 for none.
        voted_for: u64,
    },
    /// Save these entries; the first one replaces the log from its index on.
    SaveEntries(Vec<LogEntry>),
    /// Save this snapshot, the vote and the entries after the snapshot in place of everything saved before.
    SaveSnapshot {
        /// Last index that the snapshot covers.
        index: u64,
        /// Term of that index.
        term: u64,
        /// Voters as of that index.
        voters: Vec<Member>,
        /// The encoded state machine.
        state: Vec<u8>,
        /// Current term and the replica voted for.
        vote: (u64, u64),
        /// Entries after the snapshot.
        entries: Vec<LogEntry>,
    },
    /// Send a message to the replica that it names.
    Send(RaftMessage),
    /// Send a message to every VM that may hold a replica of the group.
    Broadcast(RaftMessage),
    /// Replace the state machine by this snapshot.
    Restore {
        /// Last index that the snapshot covers.
        index: u64,
        /// The encoded state machine.
        state: Vec<u8>,
    },
    /// Apply these entries in order.
    Apply(Vec<LogEntry>),
    /// The proposal was appended to the log. It is committed once the entry applied at `index` has the same term.
    Appended {
        /// Identifies the proposal.
        request_id: u64,
        /// Index in the log.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// The proposal or read was refused: this replica doesn't lead, and nothing was recorded.
    Refused {
        /// Identifies the proposal or read.
        request_id: u64,
    },
    /// The read was confirmed and may be answered once `index` is applied.
    ReadIndex {
        /// Identifies the read.
        request_id: u64,
        /// Index that must be applied.
        index: u64,
    },
    /// The role or the known leader changed.
    RoleChanged,
}
