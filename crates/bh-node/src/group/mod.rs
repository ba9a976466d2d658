//! Replication groups of this process.

mod driver;
mod formation;
mod handle;
mod input;
mod machine;
mod persist;
mod spawn;

pub use driver::Driver;
pub use driver::Hooks;
pub use formation::Formation;
pub use formation::form;
pub use handle::Group;
pub use handle::GroupStatus;
pub use input::Input;
pub use machine::Machine;
pub use machine::MachineState;
pub(crate) use spawn::Spawned;
pub(crate) use spawn::Spawner;
pub(crate) use spawn::drive;
pub(crate) use spawn::hosted;
