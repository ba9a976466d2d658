//! Another entry, as this entry sees it.

use bh_net::link::CallError;
use bh_net::link::Channel;
use bh_protocol::wire::Heartbeat;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use bh_settings::entry::EntryVm;
use std::cell::Cell;
use std::cell::RefCell;

/// Another entry and the link that this entry opens to it.
pub struct Peer {
    /// The entry's name and addresses.
    pub vm: EntryVm,
    /// Id of the entry's replicas; 0 until its first hello.
    pub replica: Cell<u64>,
    /// When a frame last arrived on the link, on this process's clock; 0 for never.
    pub last_contact_ms: Cell<u64>,
    /// The entry's latest heartbeat.
    pub heartbeat: RefCell<Heartbeat>,
    pub(super) channel: Channel,
}

impl Peer {
    /// A peer whose link is not open yet.
    pub fn new(vm: EntryVm) -> Self {
        Self {
            vm,
            replica: Cell::new(0),
            last_contact_ms: Cell::new(0),
            heartbeat: RefCell::new(Heartbeat::default()),
            channel: Channel::new(),
        }
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.channel.is_open()
    }

    /// Sends a heartbeat, if the link is open.
    pub(super) fn send_heartbeat(&self, heartbeat: Heartbeat) {
        self.channel.send(Payload::Heartbeat(heartbeat));
    }

    /// Sends a replication message, if the link is open and not congested.
    pub fn send_raft(&self, message: RaftMessage) {
        self.channel.send_raft(message);
    }

    /// Calls the other entry.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the call may have reached the other entry.
    pub async fn call(
        &self,
        kind: RpcKind,
        group: &str,
        head: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Result<RpcReply, CallError> {
        let request = RpcRequest {
            kind: kind.into(),
            group: group.to_owned(),
            head,
            body,
            ..RpcRequest::default()
        };
        self.channel.call(request, timeout_ms).await
    }
}
