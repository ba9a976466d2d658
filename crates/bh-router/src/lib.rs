//! Short requests: admission, queues, slots, retries, and the record that keeps non-idempotent ones at most once.
//!
//! [`Router`] is pure: it takes the time and events and returns [`Decision`]s. [`Ledger`] is the replicated record.

mod budget;
mod decision;
mod estimate;
mod health;
mod ledger;
mod pending_request;
mod queue;
mod router;
mod type_record;

pub use decision::AttemptOutcome;
pub use decision::Decision;
pub use ledger::Entry;
pub use ledger::Ledger;
pub use ledger::LedgerAnswer;
pub use ledger::LedgerCommand;
pub use pending_request::PendingRequest;
pub use router::Router;
