//! What happens at a site.

use super::log::Waiting;
use super::network::Way;
use bh_workload::dispatch::Answer;
use bh_workload::dispatch::Order;
use bh_workload::dispatch::RecordOutcome;
use bh_workload::state::WorkerInfo;

/// What happens at a time.
pub enum Event {
    /// A job is handed in.
    Submit { job: u64 },
    /// A fault begins.
    Fault { index: usize },
    /// A fault ends that does not end by itself.
    FaultEnds { index: usize },
    /// A worker says that it is there.
    Heartbeat { index: usize },
    /// The leader reads that.
    Hear {
        term: u64,
        info: Box<WorkerInfo>,
        clock_ms: u64,
    },
    /// The leader takes a turn.
    Turn { term: u64 },
    /// An order leaves the leader.
    Send { order: Order },
    /// An order comes to a worker.
    Arrive { call: u64, order: Order, way: Way },
    /// An answer comes back.
    Answer {
        call: u64,
        term: u64,
        answer: Answer,
    },
    /// An answer that came in time is read late; `repeated` if it is that to a second send.
    Read {
        order: Order,
        answer: Answer,
        repeated: bool,
    },
    /// An answer has not come in time.
    Timeout { call: u64 },
    /// Something may be committed.
    Commit,
    /// A proposal was not committed in time.
    RecordTimeout { id: u64 },
    /// The proposer hears what became of a proposal.
    Result {
        id: u64,
        waiting: Waiting,
        outcome: RecordOutcome,
    },
    /// The leader is replaced once ends wait to be committed, or at `by_ms`.
    Depose { index: usize, by_ms: u64 },
    /// A deposed leader knows that it is one.
    StepDown { term: u64 },
    /// Another leader takes over.
    TakeOffice {
        core: usize,
        lost: usize,
        gap_ms: u64,
    },
}
