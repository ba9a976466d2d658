//! What a core holds while it leads.

use bh_protocol::Incarnation;
use bh_workload::dispatch::Dispatcher;
use bh_workload::plan::Planner;
use bh_workload::upkeep::Keeper;
use std::collections::BTreeMap;

/// A leader's own state; gone with the leadership.
pub struct Leadership {
    /// Its term.
    pub term: u64,
    /// Upkeep of VMs.
    pub keeper: Keeper,
    /// Orders to workers.
    pub dispatcher: Dispatcher,
    /// The plan.
    pub planner: Planner,
    /// Whether starts are being recorded: the next plan must see them.
    pub planning: bool,
    /// Whether something has changed since the last plan.
    pub plan_due: bool,
    /// When the last plan was made, on the process's clock in milliseconds.
    pub planned_ms: u64,
    /// Earliest time of the next plan, on the process's clock in milliseconds.
    pub plan_from_ms: u64,
    /// When all workers were last looked through, on the process's clock in milliseconds.
    pub swept_ms: u64,
    /// When runs were last checked for being overdue, on the process's clock in milliseconds.
    pub checked_ms: u64,
    /// Highest number of a heartbeat heard from each worker.
    pub sequences: BTreeMap<Incarnation, u64>,
}
