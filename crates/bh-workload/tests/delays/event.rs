//! Events of the simulation.

use super::log::PendingResult;
use super::network::Delivery;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::state::WorkerInfo;

/// An event that the simulation handles at a given time.
pub enum Event {
    /// A job is submitted.
    Submit { job: u64 },
    /// A fault starts.
    Fault { index: usize },
    /// A fault ends that has an explicit end.
    FaultEnds { index: usize },
    /// A worker sends a heartbeat.
    SendHeartbeat { index: usize },
    /// The leader reads a heartbeat.
    ReadHeartbeat {
        term: u64,
        info: Box<WorkerInfo>,
        clock_ms: u64,
    },
    /// The leader runs one turn of its loop.
    Turn { term: u64 },
    /// The leader's core sends an order.
    SendOrder { order: Order },
    /// An order arrives at a worker's address.
    OrderArrives {
        call: u64,
        order: Order,
        delivery: Delivery,
    },
    /// An answer arrives at the leader's core.
    AnswerArrives {
        call: u64,
        term: u64,
        answer: Answer,
    },
    /// The leader reads an answer that arrived in time; `repeated` if the order had been sent twice.
    ReadAnswer {
        order: Order,
        answer: Answer,
        repeated: bool,
    },
    /// An order has had no answer in time.
    CallTimeout { call: u64 },
    /// Commits the proposals that are due.
    Commit,
    /// A proposal has not been committed in time.
    ProposalTimeout { id: u64 },
    /// The proposer reads the outcome of a proposal.
    ProposalResult {
        id: u64,
        pending: PendingResult,
        outcome: RecordOutcome,
    },
    /// The leader is replaced as soon as ends wait to be committed, and by `by_ms` at the latest.
    Depose { index: usize, by_ms: u64 },
    /// A deposed leader learns that it was deposed.
    StepDown { term: u64 },
    /// A new leader is elected.
    Elect {
        core: usize,
        lost: usize,
        gap_ms: u64,
    },
}
