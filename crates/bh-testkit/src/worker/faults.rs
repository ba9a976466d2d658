//! Faults that a stand-in worker can be ordered to have.

use serde::Deserialize;
use serde::Serialize;

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every short request and every started task fails.
    pub fails_everything: bool,
    /// Refuses to hold accelerators.
    pub refuses_prepare: bool,
    /// Refuses to start what it holds.
    pub refuses_start: bool,
    /// Short requests never get an answer.
    pub hangs: bool,
    /// Answers to short requests stop in the middle.
    pub truncates: bool,
    /// Answers name another request.
    pub swaps_answers: bool,
    /// Short requests take this long, in milliseconds.
    pub delay_ms: u64,
    /// Does not announce itself any more.
    pub silent: bool,
    /// Announces that it is leaving.
    pub leaving: bool,
}
