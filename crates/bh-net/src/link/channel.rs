//! The end of a link that calls: what waits to be sent, and the calls that wait for an answer.

use super::CallError;
use crate::runtime::within_ms;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Frames that wait to be sent at most; replication messages beyond that are dropped, and repeated by their sender.
const MAX_WAITING: usize = 4_096;

/// A link that may be open, and may be opened again after it broke.
pub struct Channel {
    queue: RefCell<Option<unbounded::Tx<Frame>>>,
    waiting: Cell<usize>,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<RpcReply>>>,
    next_call: Cell<u64>,
}

impl Default for Channel {
    fn default() -> Self {
        Self::new()
    }
}

impl Channel {
    /// A link that is not open.
    pub fn new() -> Self {
        Self {
            queue: RefCell::new(None),
            waiting: Cell::new(0),
            calls: RefCell::new(BTreeMap::new()),
            next_call: Cell::new(1),
        }
    }

    /// Opens the link; what is sent from now on comes out of the returned end.
    pub fn open(&self) -> unbounded::Rx<Frame> {
        let (sender, receiver) = unbounded::channel();
        *self.queue.borrow_mut() = Some(sender);
        self.waiting.set(0);
        receiver
    }

    /// Ends the link: calls without an answer are lost.
    pub fn close(&self) {
        self.queue.borrow_mut().take();
        self.calls.borrow_mut().clear();
    }

    /// Whether the link is open.
    pub fn is_open(&self) -> bool {
        self.queue.borrow().is_some()
    }

    /// Notes that a frame that waited was sent.
    pub fn note_sent(&self) {
        self.waiting.set(self.waiting.get().saturating_sub(1));
    }

    /// Hands an answer to the call that waits for it.
    pub fn note_reply(&self, reply: RpcReply) {
        if let Some(call) = self.calls.borrow_mut().remove(&reply.id) {
            // Whoever waited may have given up.
            let _ = call.send(reply);
        }
    }

    /// Sends a frame; `false` when the link is not open.
    pub fn send(&self, payload: Payload) -> bool {
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

    /// Calls the other end; the number of the call is filled in.
    ///
    /// # Errors
    ///
    /// [`CallError`].
    pub async fn call(
        &self,
        mut request: RpcRequest,
        limit_ms: u64,
    ) -> Result<RpcReply, CallError> {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        request.id = id;
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().insert(id, sender);
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
