//! A core that this process dials.

use super::CallError;
use bh_net::runtime::within_ms;
use bh_protocol::wire::CoreStatus;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Frames that wait to be sent at most; replication messages beyond that are dropped, and repeated by their sender.
const MAX_WAITING: usize = 4_096;

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
    pub(super) queue: RefCell<Option<unbounded::Tx<Frame>>>,
    pub(super) waiting: Cell<usize>,
    pub(super) calls: RefCell<BTreeMap<u64, oneshot::Sender<RpcReply>>>,
    next_call: Cell<u64>,
}

impl Peer {
    /// A core without a link yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            replica: Cell::new(0),
            status: RefCell::new(CoreStatus::default()),
            heard_ms: Cell::new(0),
            queue: RefCell::new(None),
            waiting: Cell::new(0),
            calls: RefCell::new(BTreeMap::new()),
            next_call: Cell::new(1),
        }
    }

    /// Whether the link is open.
    pub fn is_linked(&self) -> bool {
        self.queue.borrow().is_some()
    }

    /// Notes that it said it does not lead; it is asked again once it says otherwise.
    pub fn note_not_leading(&self) {
        self.status.borrow_mut().leads = false;
    }

    pub(super) fn send(&self, payload: Payload) -> bool {
        let queue = self.queue.borrow();
        let Some(queue) = queue.as_ref() else {
            return false;
        };
        self.waiting.set(self.waiting.get() + 1);
        queue
            .send(Frame {
                payload: Some(payload),
            })
            .is_ok()
    }

    /// Sends a replication message, if the link is open and not clogged.
    pub fn send_raft(&self, message: RaftMessage) {
        if self.waiting.get() < MAX_WAITING {
            self.send(Payload::Raft(message));
        }
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
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().insert(id, sender);
        let request = RpcRequest {
            id,
            kind: kind.into(),
            body,
            ..RpcRequest::default()
        };
        if !self.send(Payload::Request(request)) {
            self.calls.borrow_mut().remove(&id);
            return Err(CallError::NotSent);
        }
        let answer = within_ms(limit_ms, receiver).await;
        self.calls.borrow_mut().remove(&id);
        match answer {
            Some(Ok(reply)) => Ok(reply),
            _ => Err(CallError::Lost),
        }
    }
}
