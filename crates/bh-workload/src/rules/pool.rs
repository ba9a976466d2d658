//! Pools of workers.

use serde::Deserialize;
use serde::Serialize;
use std::sync::Arc;

/// A pool of workers. It runs the tasks of the queues that name it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name.
    pub name: Arc<str>,
    /// Path at which a worker reports whether it is healthy.
    pub health_path: Arc<str>,
    /// Maximum number of connections to one worker; 0 if not specified.
    pub max_connections: u32,
    /// Whether the workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the VMs of the pool are switched off until there is work for them.
    pub standby: bool,
}
