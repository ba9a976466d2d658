//! Admission, queueing, routing and retries of short requests, and the record that runs non-idempotent requests at most
//! once.
//!
//! [`Router`] is pure decision code: it takes the current time and events and returns [`Decision`]s. [`Ledger`] is the
//! replicated record.
//!
//! An *entry* is the process of a VM that takes callers' requests; each entry has a router. A *target* is a process that runs the requests,
//! several at a time, each in one of its *slots*.

mod decision;
mod health;
mod ledger;
mod pending_request;
mod queue;
mod retry_budget;
mod router;
mod service_times;
mod type_outcomes;

pub use decision::AttemptOutcome;
pub use decision::Decision;
pub use ledger::Ledger;
pub use ledger::LedgerAnswer;
pub use ledger::LedgerCommand;
pub use ledger::LedgerEntry;
pub use pending_request::PendingRequest;
pub use router::Router;
