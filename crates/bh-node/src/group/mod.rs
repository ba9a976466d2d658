//! Replication groups of this process.

mod machine;
mod spawn;

pub use bh_group::Formation;
pub use bh_group::Hooks;
pub use bh_group::form;
pub use machine::Machine;
pub use machine::MachineState;
pub(crate) use spawn::Spawned;
pub(crate) use spawn::Spawner;
pub(crate) use spawn::drive;
pub(crate) use spawn::hosted;

/// A group of the entry.
pub type Group = bh_group::Group<MachineState>;
/// The driver of a group of the entry.
pub type Driver = bh_group::Driver<MachineState>;
