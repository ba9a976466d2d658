//! Levels of load shedding, in the order in which they take effect.

use serde::Deserialize;
use serde::Serialize;

/// Lag from which on surveys are delayed and reads of queue lengths are shed, in milliseconds: the fixed part of the tightest objective. A
/// call that waits this long leaves an urgent job no time but that of its run.
const READS_LAG_MS: u64 = 250;
/// Lag from which on submissions of the lowest priority are refused, in milliseconds: at twice the fixed part of the tightest objective,
/// urgent jobs are late because of the leader alone.
const LOWEST_PRIORITY_LAG_MS: u64 = 500;
/// Lag from which on all submissions except those of priority 0 are refused, in milliseconds: workers and operators wait about this long
/// for an answer before they call again, which adds to the load.
const NON_URGENT_LAG_MS: u64 = 1_000;

/// What is shed, the first level being the first to take effect. Each level includes the ones before it. Leases, ends of runs, orders and
/// heartbeats are never shed, nor are submissions of priority 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ShedLevel {
    /// Nothing.
    #[default]
    Nothing,
    /// Surveys of the waiting work, and the reports that come from them, are delayed.
    Surveys,
    /// Reads of queue lengths are refused with a time to retry.
    QueueReads,
    /// Submissions of the lowest priority are refused.
    LowestPriority,
    /// All submissions except those of priority 0 are refused.
    NonUrgent,
}

impl ShedLevel {
    /// All levels in order.
    pub const ALL: [ShedLevel; 5] = [
        ShedLevel::Nothing,
        ShedLevel::Surveys,
        ShedLevel::QueueReads,
        ShedLevel::LowestPriority,
        ShedLevel::NonUrgent,
    ];

    /// Returns the level that a lag of the leader calls for. The first two levels take effect at the same lag; the first one alone only
    /// remains in force while the level falls.
    pub fn for_lag(lag_ms: u64) -> Self {
        if lag_ms >= NON_URGENT_LAG_MS {
            ShedLevel::NonUrgent
        } else if lag_ms >= LOWEST_PRIORITY_LAG_MS {
            ShedLevel::LowestPriority
        } else if lag_ms >= READS_LAG_MS {
            ShedLevel::QueueReads
        } else {
            ShedLevel::Nothing
        }
    }

    /// Returns the level before this one.
    #[must_use]
    pub fn lower(self) -> Self {
        match self {
            ShedLevel::Nothing | ShedLevel::Surveys => ShedLevel::Nothing,
            ShedLevel::QueueReads => ShedLevel::Surveys,
            ShedLevel::LowestPriority => ShedLevel::QueueReads,
            ShedLevel::NonUrgent => ShedLevel::LowestPriority,
        }
    }

    /// Returns the number of the level, for metrics: 0 if nothing is shed.
    pub fn number(self) -> u64 {
        match self {
            ShedLevel::Nothing => 0,
            ShedLevel::Surveys => 1,
            ShedLevel::QueueReads => 2,
            ShedLevel::LowestPriority => 3,
            ShedLevel::NonUrgent => 4,
        }
    }

    /// Returns whether surveys are delayed.
    pub fn delays_surveys(self) -> bool {
        self >= ShedLevel::Surveys
    }

    /// Returns whether reads of queue lengths are refused.
    pub fn sheds_queue_reads(self) -> bool {
        self >= ShedLevel::QueueReads
    }

    /// Returns whether a submission of `priority` is refused, where `lowest_priority` is the largest priority number of all queues.
    pub fn sheds_submission(self, priority: u32, lowest_priority: u32) -> bool {
        let sheds_priority = match self {
            ShedLevel::NonUrgent => true,
            ShedLevel::LowestPriority => priority >= lowest_priority,
            _ => false,
        };
        priority > 0 && sheds_priority
    }
}
