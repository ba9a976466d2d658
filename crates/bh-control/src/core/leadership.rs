//! State of a core while it leads. A core is a process that keeps the replicated state; one of them leads.

use super::inherited_runs::InheritedRuns;
use super::runnable_tracker::RunnableTracker;
use super::starts_record::StartsRecord;
use bh_protocol::Incarnation;
use bh_workload::admission::AdmissionController;
use bh_workload::dispatch::Dispatcher;
use bh_workload::plan::Planner;
use bh_workload::upkeep::WaveScheduler;
use std::collections::BTreeMap;

/// State that only the leader has. It is dropped when the core stops leading.
pub struct Leadership {
    /// Its term.
    pub term: u64,
    /// Schedules maintenance of VMs.
    pub wave_scheduler: WaveScheduler,
    /// Sends orders to workers and tracks what they run.
    pub dispatcher: Dispatcher,
    /// Plans starts and stops of runs.
    pub planner: Planner,
    /// Decides which submissions are refused and what is shed.
    pub admission: AdmissionController,
    /// The recording of the last planned starts in the replicated state. No plan is made until it has ended.
    pub starts_record: StartsRecord,
    /// Whether something has changed since the last plan.
    pub plan_due: bool,
    /// When the last plan was made, on the process's clock in milliseconds.
    pub last_plan_ms: u64,
    /// Earliest time of the next plan, on the process's clock in milliseconds.
    pub next_plan_ms: u64,
    /// Runs of earlier leaders that are not confirmed yet.
    pub inherited_runs: InheritedRuns,
    /// When the inherited runs were last checked, on the process's clock in milliseconds.
    pub last_inherited_check_ms: u64,
    /// How long runnable work has waited, and which jobs are stalled.
    pub runnable: RunnableTracker,
    /// Earliest time of the next survey of waiting work, for metrics and log lines about stalled jobs, on the process's clock in milliseconds.
    pub next_survey_ms: u64,
    /// When all workers were last checked for due orders, on the process's clock in milliseconds.
    pub last_sweep_ms: u64,
    /// When runs were last checked for being overdue, that is, stalled or much slower than expected, on the process's clock in milliseconds.
    pub last_overdue_check_ms: u64,
    /// Highest heartbeat sequence number received from each worker.
    pub heartbeat_sequences: BTreeMap<Incarnation, u64>,
}

impl Leadership {
    /// Time since the last plan started, or since the election if there was none yet, in milliseconds.
    pub fn plan_age_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.last_plan_ms.max(self.dispatcher.elected_ms());
        now_ms.saturating_sub(since_ms)
    }
}
