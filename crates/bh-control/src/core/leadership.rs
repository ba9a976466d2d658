//! What a core holds while it leads.

use super::inherited::Inherited;
use super::runnable_watch::RunnableWatch;
use super::starts_record::StartsRecord;
use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::plan::Planner;
use bh_workload::upkeep::WaveScheduler;
use std::collections::BTreeMap;

/// A leader's own state; gone with the leadership.
pub struct Leadership {
    /// Its term.
    pub term: u64,
    /// Upkeep of VMs.
    pub wave_scheduler: WaveScheduler,
    /// Orders to workers.
    pub dispatcher: Dispatcher,
    /// The plan.
    pub planner: Planner,
    /// The record of the last planned starts.
    pub starts_record: StartsRecord,
    /// Whether something has changed since the last plan.
    pub plan_due: bool,
    /// When the last plan was made, on the process's clock in milliseconds.
    pub planned_ms: u64,
    /// Earliest time of the next plan, on the process's clock in milliseconds.
    pub plan_from_ms: u64,
    /// Runs that it took over and has not heard of yet.
    pub inherited: Inherited,
    /// When these were last looked through, on the process's clock in milliseconds.
    pub settled_ms: u64,
    /// What its surveys of waiting work have shown.
    pub runnable: RunnableWatch,
    /// Earliest time of the next survey, on the process's clock in milliseconds.
    pub survey_from_ms: u64,
    /// When all workers were last looked through, on the process's clock in milliseconds.
    pub swept_ms: u64,
    /// When runs were last checked for being overdue, on the process's clock in milliseconds.
    pub checked_ms: u64,
    /// Highest number of a heartbeat heard from each worker.
    pub sequences: BTreeMap<Incarnation, u64>,
}

impl Leadership {
    /// Time since the last plan was begun, or since the election before the first one, in milliseconds.
    pub fn plan_age_ms(&self, now_ms: u64) -> u64 {
        let since_ms = self.planned_ms.max(self.dispatcher.elected_ms());
        now_ms.saturating_sub(since_ms)
    }
}
