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
    /// Position in this process's own order of the cores; lower comes first. It differs between processes, so that their links spread over
    /// the cores.
    pub(super) preference: u64,
    /// Id of its replica; 0 before the first handshake.
    pub replica: Cell<u64>,
    /// Its data centre, once it has said hello.
    pub data_centre: RefCell<Arc<str>>,
    /// Its last reported status.
    pub status: RefCell<CoreStatus>,
    /// Last contact, on the process's clock in milliseconds.
    pub last_contact_ms: Cell<u64>,
    pub(super) channel: Channel,
    /// Whether a task keeps a link to the core.
    pub(super) is_kept: Cell<bool>,
    /// Whether the last attempt to open a link failed, or the last link was lost.
    pub(super) has_failed: Cell<bool>,
    /// Cancelled while the link is silent.
    silence: RefCell<CancellationToken>,
}

impl Peer {
    /// Creates a core without a link.
    pub fn new(address: SocketAddr, preference: u64) -> Self {
        Self {
            address,
            preference,
            replica: Cell::new(0),
            status: RefCell::new(CoreStatus::default()),
            last_contact_ms: Cell::new(0),
            data_centre: RefCell::new(Arc::from("")),
            channel: Channel::new(),
            is_kept: Cell::new(false),
            has_failed: Cell::new(false),
            silence: RefCell::new(CancellationToken::new()),
        }
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.channel.is_open()
    }

    /// Whether the core is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.status.borrow().draining
    }

    /// Whether the last contact was recent enough at `now_ms` to send calls to the core.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.is_linked() && now_ms < self.last_contact_ms.get() + MAX_CALL_SILENCE_MS
    }

    /// Term of the leader that calls over this link reach: the core itself or the leader that it has contact with. 0 if there is none.
    pub fn leader_term(&self) -> u64 {
        let status = self.status.borrow();
        if status.leads {
            status.term
        } else {
            status.leader_term
        }
    }

    /// Last contact with that leader, on the process's clock in milliseconds.
    pub fn leader_contact_ms(&self) -> u64 {
        let age_ms = self.status.borrow().leader_contact_age_ms;
        self.last_contact_ms.get().saturating_sub(age_ms)
    }

    /// Kind of the calls for the leader over this link.
    pub fn leader_call_kind(&self) -> RpcKind {
        if self.status.borrow().leads {
            RpcKind::Workload
        } else {
            RpcKind::Relay
        }
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

    /// Records that the core answered that it does not lead. It is asked again once it reports that it leads or knows the leader.
    pub fn note_not_leading(&self) {
        let mut status = self.status.borrow_mut();
        status.leads = false;
        status.leader_term = 0;
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
            limit_ms,
            ..RpcRequest::default()
        };
        self.channel.call(request, limit_ms).await
    }
}
