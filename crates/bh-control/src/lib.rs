//! The processes of a deployment: entries, which accept callers' connections, and cores, which replicate the state and elect a leader.
//!
//! - An *entry* is the process of a VM that takes callers' requests. It decides nothing and forwards each call to the leader.
//! - A *core* is a process that keeps the replicated record of rules, jobs, workers and runs. One core leads: it plans runs and gives workers
//!   their orders.
//! - A *carrier* is a core that passes the leader's orders on to a worker. In a large fleet the cores share the workers that way.
//! - The *adviser* is an external service that says which workers may run a step of a job.
//! - A *dialect* translates calls, answers and orders to and from the wire format of a deployment.

pub mod calls;
pub mod config;
pub mod core;
pub mod dialect;
pub mod entry;
pub mod mesh;
pub mod observe;
mod reload;
pub mod server;
pub mod standstill;

use bh_protocol::Failure;
use config::LocalConfig;
use config::Role;
use dialect::Dialect;

/// Runs the process that `config` describes until it is told to stop.
///
/// # Errors
///
/// Those of [`entry::serve`] and [`core::serve`].
pub async fn run(config: LocalConfig, dialect: Dialect) -> Result<(), Failure> {
    match config.role {
        Role::Entry => entry::serve(config, dialect).await,
        Role::Core => core::serve(config, dialect).await,
    }
}
