//! Admission, queueing, routing and retries of short requests, and the record that runs non-idempotent requests at most
//! once.
//!
//! [`Router`] is pure decision code: it takes the current time and events and returns [`Decision`]s. [`Ledger`] is the
//! replicated record.

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
