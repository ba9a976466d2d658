//! One other entry.

use super::CallError;
use bh_net::runtime::within_ms;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Heartbeat;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcKind;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use bh_settings::entry::EntryVm;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Frames that wait to be sent at most; replication messages beyond that are dropped, and repeated by their sender.
const MAX_WAITING: usize = 4_096;

/// Another entry and the link this entry dials to it.
pub struct Peer {
    /// The VM.
    pub vm: EntryVm,
    /// Identity of its replicas, once it has said hello.
    pub replica: Cell<u64>,
    /// When it was last heard, on the process's clock; 0 for never.
    pub heard_ms: Cell<u64>,
    /// What it last said of itself.
    pub heartbeat: RefCell<Heartbeat>,
    pub(super) queue: RefCell<Option<unbounded::Tx<Frame>>>,
    pub(super) waiting: Cell<usize>,
    pub(super) calls: RefCell<BTreeMap<u64, oneshot::Sender<RpcReply>>>,
    next_call: Cell<u64>,
}

impl Peer {
    /// A peer without a link yet.
    pub fn new(vm: EntryVm) -> Self {
        Self {
            vm,
            replica: Cell::new(0),
            heard_ms: Cell::new(0),
            heartbeat: RefCell::new(Heartbeat::default()),
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

    /// Notes that a frame that waited was sent.
    pub(super) fn note_sent(&self) {
        self.waiting.set(self.waiting.get().saturating_sub(1));
    }

    fn send(&self, payload: Payload) -> bool {
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

    /// Sends a heartbeat, if the link is open.
    pub(super) fn send_heartbeat(&self, heartbeat: Heartbeat) {
        self.send(Payload::Heartbeat(heartbeat));
    }

    /// Sends a replication message, if the link is open and not clogged.
    pub fn send_raft(&self, message: RaftMessage) {
        if self.waiting.get() < MAX_WAITING {
            self.send(Payload::Raft(message));
        }
    }

    /// Calls the other entry.
    ///
    /// # Errors
    ///
    /// [`CallError`].
    pub async fn call(
        &self,
        kind: RpcKind,
        group: &str,
        head: String,
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
            group: group.to_owned(),
            head,
            body,
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
