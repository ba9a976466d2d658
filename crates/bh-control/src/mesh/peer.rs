//! A core that this process dials.

use bh_net::link::CallError;
use bh_net::link::Channel;
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;

/// Another core and the link to it.
pub struct Peer {
    /// Where it takes links.
    pub address: SocketAddr,
    /// Identity of its replica, once it has said hello.
    pub replica: Cell<u64>,
    /// What it last said of itself.
    pub status: RefCell<CoreStatus>,
    /// When that was, on the process's clock in milliseconds.
    pub heard_ms: Cell<u64>,
    pub(super) channel: Channel,
}

impl Peer {
    /// A core without a link yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            replica: Cell::new(0),
            status: RefCell::new(CoreStatus::default()),
            heard_ms: Cell::new(0),
            channel: Channel::new(),
        }
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.channel.is_open()
    }

    /// Notes that it said it does not lead; it is asked again once it says otherwise.
    pub fn note_not_leading(&self) {
        self.status.borrow_mut().leads = false;
    }

    /// Sends a replication message, if the link is open and not clogged.
    pub fn send_raft(&self, message: RaftMessage) {
        self.channel.send_raft(message);
    }

    /// Calls the core.
    ///
    /// # Errors
    ///
    /// [`CallError`].
    pub async fn call(
        &self,
        kind: RpcKind,
        body: Vec<u8>,
        limit_ms: u64,
    ) -> Result<RpcReply, CallError> {
        let request = RpcRequest {
            kind: kind.into(),
            body,
            ..RpcRequest::default()
        };
        self.channel.call(request, limit_ms).await
    }
}
