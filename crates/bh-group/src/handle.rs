//! The handle through which the rest of the process uses a group.

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

/// State of a group's replication, as this replica knows it.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// Whether this replica leads.
    pub is_leader: bool,
    /// Whether this replica votes.
    pub is_voter: bool,
    /// Current term.
    pub term: u64,
    /// Identity of the leader, if it is known.
    pub leader: Option<u64>,
    /// Whether the state machine has at some time since the start held everything that was committed by then.
    pub caught_up: bool,
    /// Last index applied to the state machine.
    pub applied: u64,
    /// Last index in the log.
    pub last_index: u64,
    /// Last index that the snapshot covers.
    pub snapshot_index: u64,
    /// The voters.
    pub members: Vec<Member>,
    /// Whether a majority of the voters has disk space for large changes, as far as this replica knows if it leads; else whether it has itself.
    pub has_space: bool,
    /// Whether this replica's disk has had no room for the journal's reserve since it was given up.
    pub low_on_space: bool,
    /// Length of this replica's journal, in bytes.
    pub journal_bytes: u64,
    /// Length of the last snapshot, in bytes; 0 if there is none.
    pub snapshot_bytes: u64,
    /// Latest time, on the process's clock, at which a majority certainly knew of no later leader; `None` unless this replica leads.
    pub quorum_confirmed_ms: Option<u64>,
    /// When this replica last heard from a leader, on the process's clock; `None` if it has heard from none since it started.
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
    /// State of the group's replication.
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }

    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.status.borrow().is_leader
    }

    /// Whether the state machine has at some time since the start held everything that was committed by then.
    pub fn has_caught_up(&self) -> bool {
        self.status.borrow().caught_up
    }

    /// Milliseconds since this replica last heard from a leader: 0 while it leads, `None` if it has heard from none since it started.
    pub fn leader_contact_age_ms(&self, now_ms: u64) -> Option<u64> {
        let status = self.status.borrow();
        if status.is_leader {
            Some(0)
        } else {
            status
                .last_leader_contact_ms
                .map(|contact_ms| now_ms.saturating_sub(contact_ms))
        }
    }

    /// Passes a message from another replica to the driver.
    pub fn deliver(&self, message: RaftMessage) {
        let _ = self.inbox.send(Input::Message(message));
    }

    /// Forms the group with these first voters, if this replica's log is empty.
    pub fn form(&self, members: Vec<Member>) {
        let _ = self.inbox.send(Input::Form(members));
    }

    /// Replicates `command` and returns the state machine's answer. Only the leader can do this.
    ///
    /// # Errors
    ///
    /// [`Code::NoQuorum`] if nothing was recorded, [`Code::OutcomeUnknown`] if the command may have been recorded.
    pub async fn propose(&self, command: Vec<u8>, timeout_ms: u64) -> Result<Vec<u8>, Failure> {
        let (reply, answer) = oneshot::channel();
        let sent = self.inbox.send(Input::Propose { command, reply });
        self.answer(sent.is_ok(), answer, timeout_ms).await
    }

    /// Replicates `command` without waiting for the answer. Only the leader can do this. If a later proposal to this replica is recorded in
    /// the same term, the command is recorded before it.
    pub fn propose_unanswered(&self, command: Vec<u8>) {
        let (reply, _) = oneshot::channel();
        let _ = self.inbox.send(Input::Propose { command, reply });
    }

    /// Waits until the local state holds everything that was committed before this call. Only the leader can do this.
    ///
    /// # Errors
    ///
    /// [`Code::NoQuorum`].
    pub async fn read(&self, timeout_ms: u64) -> Result<(), Failure> {
        let (reply, answer) = oneshot::channel();
        let sent = self.inbox.send(Input::Read { reply });
        let failure = |_| self.no_quorum();
        self.answer(sent.is_ok(), answer, timeout_ms)
            .await
            .map_err(failure)
    }

    async fn answer<T>(
        &self,
        sent: bool,
        answer: oneshot::Receiver<Result<T, Failure>>,
        timeout_ms: u64,
    ) -> Result<T, Failure> {
        if !sent {
            return Err(self.no_quorum());
        }
        match within_ms(timeout_ms, answer).await {
            Some(Ok(result)) => result,
            _ => Err(Failure::new(
                Code::OutcomeUnknown,
                format!("group {} did not decide in {timeout_ms} ms", self.name),
            )),
        }
    }

    /// The failure of a request of which nothing was recorded.
    pub fn no_quorum(&self) -> Failure {
        const RETRY_AFTER_MS: u64 = 500;
        Failure::new(Code::NoQuorum, format!("group {}", self.name))
            .with_retry_after_ms(RETRY_AFTER_MS)
    }
}
