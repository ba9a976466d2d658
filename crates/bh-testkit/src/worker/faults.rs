//! Faults that a test can inject into a stand-in worker.

use serde::Deserialize;
use serde::Serialize;

/// The faults that a worker currently has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// All short requests and all started tasks fail.
    pub fails_everything: bool,
    /// The worker refuses to reserve accelerators for tasks.
    pub refuses_prepare: bool,
    /// The worker refuses to start prepared tasks.
    pub refuses_start: bool,
    /// Short requests never get an answer.
    pub hangs: bool,
    /// Answers are cut off in the middle.
    pub truncates: bool,
    /// Answers carry the id of another request.
    pub swaps_answers: bool,
    /// Short requests take this long, in milliseconds.
    pub delay_ms: u64,
    /// The worker stops announcing itself.
    pub silent: bool,
    /// The worker announces that it is leaving.
    pub leaving: bool,
}
