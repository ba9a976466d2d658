//! Messages between entry processes, encoded with `prost`.

mod carry;
mod core_status;
mod heartbeat;
mod peer;
mod raft;

pub use carry::CarryOutcome;
pub use carry::CarryReply;
pub use carry::CarryRequest;
pub use carry::Header;
pub use carry::RelayedHeartbeat;
pub use carry::RelayedHeartbeats;
pub use core_status::CoreStatus;
pub use heartbeat::Heartbeat;
pub use peer::Frame;
pub use peer::Hello;
pub use peer::Payload;
pub use peer::RpcKind;
pub use peer::RpcReply;
pub use peer::RpcRequest;
pub use raft::LogEntry;
pub use raft::Member;
pub use raft::RaftBody;
pub use raft::RaftKind;
pub use raft::RaftMessage;
