//! Runs one replica of a replicated log as a task: batches of inputs, disk syncs, proposals and reads.
//!
//! A [`Driver`] is that task. The rest of the process uses the replica through a handle, [`Group`].

mod driver;
mod formation;
mod handle;
mod input;
mod machine;
mod persist;

pub use driver::Driver;
pub use driver::Hooks;
pub use formation::Formation;
pub use formation::form;
pub use handle::Group;
pub use handle::GroupStatus;
pub use input::Input;
pub use machine::Codec;
pub use machine::Machine;
pub use machine::decode;
pub use machine::encode;
