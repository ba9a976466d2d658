//! A process's own settings.

mod local_config;

pub use local_config::Bounds;
pub use local_config::LocalConfig;
pub use local_config::Role;
