//! A core that this process dials, with the link to it.

use super::mesh::MAX_CALL_SILENCE_MS;
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
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Another core and the link to it.
pub struct Peer {
    /// Address at which it accepts links.
    pub address: SocketAddr,
    /// Id of its replica; 0 before the first handshake.
    pub replica: Cell<u64>,
    /// Its data centre, once it has said hello.
    pub data_centre: RefCell<Arc<str>>,
    /// Its last reported status.
    pub status: RefCell<CoreStatus>,
    /// Last contact, on the process's clock in milliseconds.
    pub last_contact_ms: Cell<u64>,
    pub(super) channel: Channel,
    /// Cancelled while the link is silent.
    silence: RefCell<CancellationToken>,
}

impl Peer {
    /// Creates a core without a link.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            replica: Cell::new(0),
            status: RefCell::new(CoreStatus::default()),
            last_contact_ms: Cell::new(0),
            data_centre: RefCell::new(Arc::from("")),
            channel: Channel::new(),
            silence: RefCell::new(CancellationToken::new()),
        }
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.channel.is_open()
    }

    /// Whether the last contact was recent enough at `now_ms` to send calls to the core.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.is_linked() && now_ms < self.last_contact_ms.get() + MAX_CALL_SILENCE_MS
    }

    /// Checks at `now_ms` whether the link is silent, and wakes the calls that wait in [`Self::until_silent`] if it is.
    pub(super) fn note_silence(&self, now_ms: u64) {
        if !self.is_fresh(now_ms) {
            self.silence.borrow().cancel();
        }
    }

    /// Records contact with the core at `now_ms`.
    pub(super) fn note_contact(&self, now_ms: u64) {
        self.last_contact_ms.set(now_ms);
        if self.silence.borrow().is_cancelled() {
            self.silence.replace(CancellationToken::new());
        }
    }

    /// Returns once the link has been silent for so long that no calls are sent over it.
    pub async fn until_silent(&self) {
        let silence = self.silence.borrow().clone();
        silence.cancelled().await;
    }

    /// Records that the core answered that it does not lead. It is asked again once it reports that it leads.
    pub fn note_not_leading(&self) {
        self.status.borrow_mut().leads = false;
    }

    /// Sends a replication message if the link is open and its queue is not full.
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
