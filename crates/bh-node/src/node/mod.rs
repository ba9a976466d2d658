//! The node: one entry's groups, peers, targets and requests in progress.

mod calls;
mod links;
mod node_handle;
mod state;

pub use calls::SETTINGS_GROUP;
pub(crate) use calls::from_json;
pub(crate) use calls::into_result;
pub use calls::jobs_group;
pub(crate) use calls::to_json;
pub use node_handle::NodeHandle;
pub use state::Node;
