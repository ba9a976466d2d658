//! What became of a record.

/// Whether a record is in force, as far as its maker knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It is committed.
    Recorded,
    /// It is not, and never will be.
    NotRecorded,
    /// Nobody knows yet: it may be committed later, by this leader or the next.
    Unknown,
}
