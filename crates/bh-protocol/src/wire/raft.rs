//! Messages of the replicated log.

/// A member of a replication group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Member {
    /// Replica id: a random number that is stored in the data folder of the replica.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the entry VM.
    #[prost(string, tag = "2")]
    pub name: String,
}

/// One entry of the replicated log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LogEntry {
    /// Position in the log, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Command for the state machine; empty in the first entry of a leader and in a membership change.
    #[prost(bytes = "vec", tag = "3")]
    pub command: Vec<u8>,
    /// New set of voters, if this entry is a membership change.
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
    /// Sends log entries, or none as a heartbeat.
    Append = 4,
    /// Answer to [`RaftKind::Append`].
    AppendReply = 5,
    /// Sends a complete snapshot.
    Snapshot = 6,
    /// Asks to receive the log. Observers send it, and voters that know of no leader.
    Observe = 7,
    /// A leader that has stepped down asks the receiver to stand for election at once. Replicas of an older version ignore it.
    Transfer = 8,
}

/// Content of a message; the kind decides which fields are used.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftBody {
    /// Kind of the message, a [`RaftKind`].
    #[prost(enumeration = "RaftKind", tag = "1")]
    pub kind: i32,
    /// Sender's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Votes: last index of the candidate's log. Appends: index before the entries. Replies: highest matching index, or a hint
    /// where to continue.
    #[prost(uint64, tag = "3")]
    pub index: u64,
    /// Term of the entry at `index`.
    #[prost(uint64, tag = "4")]
    pub index_term: u64,
    /// Commit index of the leader.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// Entries to append.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntry>,
    /// Replies: whether the vote was granted or the append matched.
    #[prost(bool, tag = "7")]
    pub granted: bool,
    /// Number of the heartbeat round, repeated in replies; a quorum of replies confirms leadership for reads.
    #[prost(uint64, tag = "8")]
    pub round: u64,
    /// Snapshot of the state machine.
    #[prost(bytes = "vec", tag = "9")]
    pub snapshot: Vec<u8>,
    /// Voters as of the snapshot.
    #[prost(message, repeated, tag = "10")]
    pub voters: Vec<Member>,
    /// Observe: name of the sending VM.
    #[prost(string, tag = "11")]
    pub name: String,
    /// Observe: whether the sender stores its log on a disk, so that it may become a voter.
    #[prost(bool, tag = "12")]
    pub durable: bool,
    /// Replies to appends: whether the sender's disk has little space left.
    #[prost(bool, tag = "13")]
    pub low_on_space: bool,
    /// Votes: whether the last leader asked for the election, so that it may take place although that leader was heard lately.
    #[prost(bool, tag = "14")]
    pub transferred: bool,
}

/// A message from one replica to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RaftMessage {
    /// Replication group, such as `settings` or `jobs/ulemiste`.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Id of the sending replica.
    #[prost(uint64, tag = "2")]
    pub from: u64,
    /// Id of the receiving replica; a replica with another id drops the message.
    #[prost(uint64, tag = "3")]
    pub to: u64,
    /// Content.
    #[prost(message, optional, tag = "4")]
    pub body: Option<RaftBody>,
}
