//! The replication groups of this process.

mod build;
mod machine;

pub use bh_group::Formation;
pub use bh_group::Hooks;
pub use bh_group::form;
pub(crate) use build::BuiltGroup;
pub(crate) use build::GroupBuilder;
pub(crate) use build::hosted_data_centres;
pub(crate) use build::start_group;
pub use machine::Machine;
pub use machine::MachineState;

/// A replication group of the entry.
pub type Group = bh_group::Group<MachineState>;
/// The driver of one of the entry's replication groups.
pub type Driver = bh_group::Driver<MachineState>;
