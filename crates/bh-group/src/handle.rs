//! A group as the rest of the process sees it.

use crate::input::Input;
use crate::machine::Machine;
use bh_net::runtime::within_ms;
use bh_protocol::Code;
use bh_protocol::Failure;
use bh_protocol::wire::Member;
use bh_protocol::wire::RaftMessage;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// What is known of a group's replication.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// Whether this replica leads.
    pub is_leader: bool,
    /// Whether this replica votes.
    pub is_voter: bool,
    /// Current term.
    pub term: u64,
    /// Identity of the leader, if one is known.
    pub leader: Option<u64>,
    /// Whether the state machine has held, at some time since the start, all that was committed by then.
    pub caught_up: bool,
    /// Last index applied to the state machine.
    pub applied: u64,
    /// Last index in the log.
    pub last_index: u64,
    /// Last index the snapshot covers.
    pub snapshot_index: u64,
    /// The voters.
    pub members: Vec<Member>,
    /// When a majority had last been heard, on the process's clock; `None` unless this replica leads.
    pub quorum_confirmed_ms: Option<u64>,
    /// When a leader was last heard, on the process's clock; `None` before the first.
    pub last_leader_contact_ms: Option<u64>,
}

/// A handle to a group's driver.
pub struct Group<S> {
    /// Name of the group.
    pub name: Arc<str>,
    /// The state machine.
    pub machine: Machine<S>,
    pub(crate) inbox: unbounded::Tx<Input>,
    pub(crate) status: Rc<RefCell<GroupStatus>>,
}

impl<S> Clone for Group<S> {
    fn clone(&self) -> Self {
        Self {
            name: self.name.clone(),
            machine: self.machine.clone(),
            inbox: self.inbox.clone(),
            status: self.status.clone(),
        }
    }
}

impl<S> Group<S> {
    /// What is known of the replication.
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.status.borrow().is_leader
    }

    /// Whether the state machine has held, at some time since the start, all that was committed by then.
    pub fn has_caught_up(&self) -> bool {
        self.status.borrow().caught_up
    }

    /// Milliseconds since the leader was heard; `None` when it never was.
    pub fn leader_contact_age_ms(&self, now_ms: u64) -> Option<u64> {
        let status = self.status.borrow();
        if status.is_leader {
            Some(0)
        } else {
            status
                .last_leader_contact_ms
                .map(|heard| now_ms.saturating_sub(heard))
        }
    }

    /// Hands a message of another replica to the driver.
    pub fn deliver(&self, message: RaftMessage) {
        let _ = self.inbox.send(Input::Message(message));
    }

    /// Tells the driver the first voters.
    pub fn form(&self, members: Vec<Member>) {
        let _ = self.inbox.send(Input::Form(members));
    }

    /// Replicates `command` and returns the state machine's answer. Only the leader can.
    ///
    /// # Errors
    ///
    /// [`Code::NoQuorum`] when nothing was recorded, [`Code::OutcomeUnknown`] when it may have been.
    pub async fn propose(&self, command: Vec<u8>, limit_ms: u64) -> Result<Vec<u8>, Failure> {
        let (reply, answer) = oneshot::channel();
        let sent = self.inbox.send(Input::Propose { command, reply });
        self.answer(sent.is_ok(), answer, limit_ms).await
    }

    /// Waits until the local state holds all that was committed before this call. Only the leader can.
    ///
    /// # Errors
    ///
    /// [`Code::NoQuorum`].
    pub async fn read(&self, limit_ms: u64) -> Result<(), Failure> {
        let (reply, answer) = oneshot::channel();
        let sent = self.inbox.send(Input::Read { reply });
        let failure = |_| self.no_quorum();
        self.answer(sent.is_ok(), answer, limit_ms)
            .await
            .map_err(failure)
    }

    async fn answer<T>(
        &self,
        sent: bool,
        answer: oneshot::Receiver<Result<T, Failure>>,
        limit_ms: u64,
    ) -> Result<T, Failure> {
        if !sent {
            return Err(self.no_quorum());
        }
        match within_ms(limit_ms, answer).await {
            Some(Ok(result)) => result,
            _ => Err(Failure::new(
                Code::OutcomeUnknown,
                format!("group {} did not decide in {limit_ms} ms", self.name),
            )),
        }
    }

    /// The refusal of a change that was not recorded.
    pub fn no_quorum(&self) -> Failure {
        const RETRY_AFTER_MS: u64 = 500;
        Failure::new(Code::NoQuorum, format!("group {}", self.name))
            .with_retry_after_ms(RETRY_AFTER_MS)
    }
}
