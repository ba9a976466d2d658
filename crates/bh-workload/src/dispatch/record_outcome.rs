//! The outcome of recording a command.

/// Whether a command is committed, as far as its sender knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The command is committed.
    Recorded,
    /// The command is not committed and never will be.
    NotRecorded,
    /// Unknown: the command may still be committed, by this leader or the next.
    Unknown,
}
