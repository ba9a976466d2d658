//! Configuration of a process.

mod local_config;
mod policy_config;
mod problems;
mod storage_limits;

pub use local_config::Bounds;
pub use local_config::LocalConfig;
pub use local_config::Role;
pub use policy_config::PolicyConfig;
pub use problems::is_deployment_config;
pub use problems::problems;
pub use storage_limits::StorageLimits;
