//! Frames of the link between two entries, and the calls in them.

use super::CoreStatus;
use super::Heartbeat;
use super::RaftMessage;

/// First message that each end of a link sends.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Name of the sending entry VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Data centre of the sender.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Random number that the keys of this connection are derived from, so that a recorded frame is valid on no other connection.
    #[prost(bytes = "vec", tag = "3")]
    pub nonce: Vec<u8>,
    /// Replica id of the sender, the same in all its groups.
    #[prost(uint64, tag = "4")]
    pub replica: u64,
    /// Address at which the sender accepts links; empty if others cannot dial it.
    #[prost(string, tag = "5")]
    pub address: String,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RpcKind {
    /// Propose a command to a group; body: the command.
    Propose = 0,
    /// A call for the leader of a group; body: the call as JSON.
    Leader = 1,
    /// Run a short request on a target that the receiver owns; head: its description as JSON; body: the body of the request.
    RunRequest = 2,
    /// Ask for the settings in force on the receiver; empty body.
    InForce = 3,
    /// Ask whether a group has been formed, and by which members; empty body.
    Formation = 4,
    /// A call for the leader of the workload; body: the call as JSON.
    Workload = 5,
    /// Send an order to a worker for the leader, as its carrier; body: a [`super::CarryRequest`].
    Carry = 6,
    /// Heartbeats of workers, relayed to the leader; body: [`super::RelayedHeartbeats`].
    Signs = 7,
    /// Pass a call on to the leader of the workload, wherever it is; body: the call as JSON.
    Relay = 8,
}

/// A call to the other end of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RpcRequest {
    /// Number of the call on this connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Kind of the call, an [`RpcKind`].
    #[prost(enumeration = "RpcKind", tag = "2")]
    pub kind: i32,
    /// Replication group that the call is about, if any.
    #[prost(string, tag = "3")]
    pub group: String,
    /// Description of the call as JSON, for kinds whose body is not enough.
    #[prost(string, tag = "4")]
    pub head: String,
    /// Body of the call.
    #[prost(bytes = "vec", tag = "5")]
    pub body: Vec<u8>,
    /// How long the sender waits for the answer, in milliseconds; 0 if it does not say.
    #[prost(uint64, tag = "6")]
    pub limit_ms: u64,
}

/// Answer to an [`RpcRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct RpcReply {
    /// Number of the call that this answers.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the result code; 0 means success.
    #[prost(uint32, tag = "2")]
    pub code: u32,
    /// Label of the failure, or description of the answer.
    #[prost(string, tag = "3")]
    pub label: String,
    /// Body of the answer.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Time after which a resend may succeed, in milliseconds; 0 if unknown.
    #[prost(uint64, tag = "5")]
    pub retry_after_ms: u64,
}

/// One frame of a peer link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Content of the frame.
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4, 5, 6")]
    pub payload: Option<Payload>,
}

/// Content of a [`Frame`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Payload {
    /// First message on the link.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Liveness and load.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// A message of the replicated log.
    #[prost(message, tag = "3")]
    Raft(RaftMessage),
    /// A call.
    #[prost(message, tag = "4")]
    Request(RpcRequest),
    /// An answer.
    #[prost(message, tag = "5")]
    Reply(RpcReply),
    /// Leadership and membership as a core knows them.
    #[prost(message, tag = "6")]
    Core(CoreStatus),
}
