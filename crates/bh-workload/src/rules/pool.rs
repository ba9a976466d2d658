//! A pool: workers that run the tasks of some queues.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// One pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// Path at which a worker tells whether it considers itself healthy.
    pub health_path: Arc<str>,
    /// Connections that a worker takes at most; 0 when not said.
    pub max_connections: u32,
    /// Whether the workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Whether the pool's VMs are switched off until work needs them.
    pub standby: bool,
}
