//! How the leader found out that a run has ended or that a worker is gone.

/// The message, or the lack of one, that shows the end of a run or the loss of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) enum Detection {
    /// The worker listed the end of the run.
    Listed,
    /// The worker had confirmed the start or a stop of the run, and now neither runs nor lists it.
    NotListed,
    /// The worker refused the start, and no earlier attempt to send it can have been carried out.
    Refused,
    /// The start was never sent.
    NeverSent,
    /// The worker's lease expired without an answer.
    Lapsed,
    /// The other members of the gang ended, and the worker has had enough time to stop this run.
    BrokenGang,
    /// The worker announced that it leaves.
    Leave,
    /// Another incarnation answered at the worker's address.
    OtherIncarnation,
    /// Another incarnation with the same worker id answered.
    Restarted,
    /// Maintenance of the worker's VM started.
    Upkeep,
}
