//! The processes of a deployment: entries, which accept callers' connections, and cores, which replicate the state and elect a leader.

pub mod calls;
pub mod config;
pub mod core;
pub mod dialect;
pub mod entry;
pub mod mesh;
pub mod observe;
mod reload;
pub mod server;

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
