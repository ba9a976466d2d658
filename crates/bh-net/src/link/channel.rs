//! The calling end of a link: frames that wait to be sent, and calls without an answer yet.

use super::CallError;
use super::key::MAC_BYTES;
use crate::runtime::within_ms;
use bh_protocol::wire::Frame;
use bh_protocol::wire::Payload;
use bh_protocol::wire::RaftMessage;
use bh_protocol::wire::RpcReply;
use bh_protocol::wire::RpcRequest;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use prost::Message as _;
use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Number of queued frames from which replication messages are dropped, since the replication sends them again. Other frames are always
/// queued.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Size of the queued frames, in bytes, from which replication messages are dropped. One that is larger is queued if no other frame is.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// The calling end of a link. It stays when the connection breaks, and can be opened again with the next connection.
pub struct Channel {
    queue: RefCell<Option<unbounded::Tx<Frame>>>,
    queued_frames: Cell<usize>,
    queued_bytes: Cell<usize>,
    pending_calls: RefCell<BTreeMap<u64, oneshot::Sender<RpcReply>>>,
    next_call_id: Cell<u64>,
}

impl Default for Channel {
    fn default() -> Self {
        Self::new()
    }
}

impl Channel {
    /// Creates the calling end of a link that is not open.
    pub fn new() -> Self {
        Self {
            queue: RefCell::new(None),
            queued_frames: Cell::new(0),
            queued_bytes: Cell::new(0),
            pending_calls: RefCell::new(BTreeMap::new()),
            next_call_id: Cell::new(1),
        }
    }

    /// Opens the link; the returned receiver gets the frames that are sent from now on.
    pub fn open(&self) -> unbounded::Rx<Frame> {
        let (sender, receiver) = unbounded::channel();
        *self.queue.borrow_mut() = Some(sender);
        self.queued_frames.set(0);
        self.queued_bytes.set(0);
        receiver
    }

    /// Closes the link; calls without an answer fail with [`CallError::Lost`].
    pub fn close(&self) {
        self.queue.borrow_mut().take();
        self.pending_calls.borrow_mut().clear();
    }

    /// Whether the link is open.
    pub fn is_open(&self) -> bool {
        self.queue.borrow().is_some()
    }

    /// Whether no call waits for its answer.
    pub fn is_idle(&self) -> bool {
        self.pending_calls.borrow().is_empty()
    }

    /// Records that a queued frame was sent, which took `bytes` on the wire.
    pub fn note_sent(&self, bytes: usize) {
        self.queued_frames
            .set(self.queued_frames.get().saturating_sub(1));
        let content_bytes = bytes.saturating_sub(MAC_BYTES);
        self.queued_bytes
            .set(self.queued_bytes.get().saturating_sub(content_bytes));
    }

    /// Passes an answer to the call that waits for it.
    pub fn note_reply(&self, reply: RpcReply) {
        if let Some(call) = self.pending_calls.borrow_mut().remove(&reply.id) {
            // The call may have timed out.
            let _ = call.send(reply);
        }
    }

    /// Queues a frame; returns `false` if the link is not open.
    pub fn send(&self, payload: Payload) -> bool {
        let queue = self.queue.borrow();
        let Some(queue) = queue.as_ref() else {
            return false;
        };
        let frame = Frame {
            payload: Some(payload),
        };
        self.queued_frames.set(self.queued_frames.get() + 1);
        self.queued_bytes
            .set(self.queued_bytes.get() + frame.encoded_len());
        queue.send(frame).is_ok()
    }

    /// Queues a replication message, if the link is open and its queue is not full.
    pub fn send_raft(&self, message: RaftMessage) {
        let queued_bytes = self.queued_bytes.get();
        let fits = queued_bytes == 0 || queued_bytes + message.encoded_len() <= MAX_QUEUED_BYTES;
        if fits && self.queued_frames.get() < MAX_QUEUED_FRAMES {
            self.send(Payload::Raft(message));
        }
    }

    /// Calls the other end and waits for the answer; sets the id of `request`.
    ///
    /// # Errors
    ///
    /// [`CallError::NotSent`] if the link is not open, [`CallError::Lost`] if no answer came within `limit_ms`.
    pub async fn call(
        &self,
        mut request: RpcRequest,
        limit_ms: u64,
    ) -> Result<RpcReply, CallError> {
        let id = self.next_call_id.get();
        self.next_call_id.set(id + 1);
        request.id = id;
        let (sender, receiver) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(id, sender);
        if !self.send(Payload::Request(request)) {
            self.pending_calls.borrow_mut().remove(&id);
            return Err(CallError::NotSent);
        }
        let answer = within_ms(limit_ms, receiver).await;
        self.pending_calls.borrow_mut().remove(&id);
        match answer {
            Some(Ok(reply)) => Ok(reply),
            _ => Err(CallError::Lost),
        }
    }
}
