//! The envelope of the link between two entries.

use super::CoreStatus;
use super::Heartbeat;
use super::RaftMessage;

/// First message of each end of a link, before any other.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the sending entry VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Data centre of the sender.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Random number that keys this connection, so that no recorded frame is valid on another.
    #[prost(bytes = "vec", tag = "3")]
    pub nonce: Vec<u8>,
    /// Identity of the sender's replicas.
    #[prost(uint64, tag = "4")]
    pub replica: u64,
    /// Where the sender takes links, when others may dial it.
    #[prost(string, tag = "5")]
    pub address: String,
}

/// What a forwarded call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RpcKind {
    /// Propose a command to a group; body: the command.
    Propose = 0,
    /// Ask the leader of a group; body: a call as JSON.
    Leader = 1,
    /// A short request to run on a target the receiver owns; head: its description as JSON; body: the request's own.
    RunRequest = 2,
    /// What the receiver has in force; empty body.
    InForce = 3,
    /// Whether a group has been formed and by whom; empty body.
    Formation = 4,
    /// A call for the leader of the workload; body: the call as JSON.
    Workload = 5,
    /// An order to a worker that the receiver shall carry; body: a [`super::CarryRequest`].
    Carry = 6,
    /// Heartbeats of workers for the leader; body: [`super::RelayedHeartbeats`].
    Signs = 7,
}

/// A call from one entry to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RpcRequest {
    /// Number of the call on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Kind, an [`RpcKind`].
    #[prost(enumeration = "RpcKind", tag = "2")]
    pub kind: i32,
    /// Replication group concerned, if any.
    #[prost(string, tag = "3")]
    pub group: String,
    /// Header of the call, as JSON, when the body alone does not say enough.
    #[prost(string, tag = "4")]
    pub head: String,
    /// Body of the call.
    #[prost(bytes = "vec", tag = "5")]
    pub body: Vec<u8>,
}

/// Answer to an [`RpcRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct RpcReply {
    /// Number of the call this answers.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the result code; 0 is success.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    /// Label of the failure, or the header of the answer.
    #[prost(string, tag = "3")]
    pub label: String,
    /// Body of the answer.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// When a resend may succeed, in milliseconds; 0 when not said.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// One frame of a peer link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Content.
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6")]
    pub payload: Option<Payload>,
}

/// Content of a [`Frame`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// Opens the link.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Liveness and load.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Replication.
    #[prost(message, tag = "3")]
    Raft(RaftMessage),
    /// A call.
    #[prost(message, tag = "4")]
    Request(RpcRequest),
    /// An answer.
    #[prost(message, tag = "5")]
    Reply(RpcReply),
    /// What a core knows of the leader and of other cores.
    #[prost(message, tag = "6")]
    Core(CoreStatus),
}
