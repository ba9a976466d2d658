//! Messages of the replicated log.

/// A member of a replication group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Identity of the replica: the random incarnation kept in its data folder.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the entry VM.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// One record of the replicated log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LogEntry {
    /// Position in the log, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Command for the state machine; empty in a leader's first entry and in a membership change.
    #[prost(bytes = "vec", tag = "3")]
    pub command: Vec<u8>,
    /// New set of voters, when this entry is a membership change.
    #[prost(message, repeated, tag = "4")]
    pub voters: Vec<Member>,
}

/// Kind of a [`RaftMessage`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RaftKind {
    /// Asks whether a vote would be granted, without changing any state.
    PreVote = 0,
    /// Answer to [`RaftKind::PreVote`].
    PreVoteReply = 1,
    /// Asks for a vote.
    Vote = 2,
    /// Answer to [`RaftKind::Vote`].
    VoteReply = 3,
    /// Carries log entries, or none as a heartbeat.
    Append = 4,
    /// Answer to [`RaftKind::Append`].
    AppendReply = 5,
    /// Carries a whole snapshot.
    Snapshot = 6,
    /// An observer's wish to receive the log.
    Observe = 7,
}

/// Content of a message; which fields count depends on the kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftBody {
    /// Kind, a [`RaftKind`].
    #[prost(enumeration = "RaftKind", tag = "1")]
    pub kind: i32,
    /// Sender's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Votes: last index of the candidate. Appends: index before the entries. Replies: highest index that matches, or a hint.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// Term of the entry at `index`.
    #[prost(uint64, tag = "4")]
    pub index_term: u64,
    /// Leader's commit index.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// Entries to append.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntry>,
    /// Replies: whether it was granted or matched.
    #[prost(bool, tag = "7")]
    pub granted: bool,
    /// Number of the heartbeat round, echoed by replies; confirms leadership for reads.
    #[prost(uint64, tag = "8")]
    pub round: u64,
    /// State machine of a snapshot.
    #[prost(bytes = "vec", tag = "9")]
    pub snapshot: Vec<u8>,
    /// Voters as of the snapshot.
    #[prost(message, repeated, tag = "10")]
    pub voters: Vec<Member>,
    /// Observe: name of the sender's VM.
    #[prost(string, tag = "11")]
    pub name: String,
    /// Observe: whether the sender keeps its log on a disk and so may become a voter.
    #[prost(bool, tag = "12")]
    pub durable: bool,
}

/// A message of one replica to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftMessage {
    /// Replication group, such as `settings` or `jobs/ulemiste`.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Identity of the sending replica.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Identity of the replica it is meant for; a later incarnation drops it.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Content.
    #[prost(message, optional, tag = "4")]
    pub body: Option<RaftBody>,
}
