//! The state machine of a data centre's group: its jobs and its non-idempotent requests.

use bh_router::Ledger;
use bh_router::LedgerAnswer;
use bh_router::LedgerCommand;
use bh_scheduler::Command;
use bh_scheduler::JobTable;
use bh_scheduler::Outcome;
use serde::Deserialize;
use serde::Serialize;

/// A change of the group's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsCommand {
    /// Of a job.
    Job(Command),
    /// Of a non-idempotent request.
    Request(LedgerCommand),
}

/// Answer to a [`JobsCommand`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobsAnswer {
    /// About a job.
    Job(Outcome),
    /// About a non-idempotent request.
    Request(LedgerAnswer),
}

/// Jobs and requests of a data centre.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct JobsMachine {
    /// The jobs.
    pub table: JobTable,
    /// The non-idempotent requests.
    pub ledger: Ledger,
}

impl JobsMachine {
    /// No jobs and no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one change.
    pub fn apply(&mut self, command: JobsCommand) -> JobsAnswer {
        match command {
            JobsCommand::Job(command) => JobsAnswer::Job(self.table.apply(command)),
            JobsCommand::Request(command) => JobsAnswer::Request(self.ledger.apply(command)),
        }
    }
}
