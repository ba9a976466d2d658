//! How the leader learnt that a run or a worker is over.

/// The message, or the want of one, behind an end.
#[derive(Clone, Copy, Debug)]
pub(super) enum Detection {
    /// The worker listed the end.
    Listed,
    /// The worker had confirmed the start or a stop, and neither runs nor lists the run.
    NotListed,
    /// The worker refused the start, and no earlier send of it can have been carried out.
    Refused,
    /// The start was never sent.
    NeverSent,
    /// The worker's lease ran out unheard.
    Lapsed,
    /// The other members of the gang ended, and the worker has had the time to end this one.
    BrokenGang,
    /// The worker said that it leaves.
    Leave,
    /// Another incarnation answered at the worker's address.
    OtherIncarnation,
    /// Another incarnation with the same worker id answered.
    Restarted,
    /// The upkeep of the worker's VM began.
    Upkeep,
}
