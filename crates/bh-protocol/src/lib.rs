//! Names, shapes, messages and result codes shared by every part of beechhollow.
//!
//! This crate depends on no other crate of the project.
//!
//! An *entry* is the process of a VM that takes callers' requests. A *core* is a process that keeps the replicated record of the workload and
//! may lead. A *carrier* is a core that passes the leader's orders on to a worker. A *target* is a worker as the entries see it.

pub mod code;
pub mod failure;
pub mod incarnation;
pub mod job;
pub mod number;
pub mod rendezvous;
pub mod request;
pub mod settings;
pub mod shape;
pub mod target;
pub mod wire;

pub use code::Code;
pub use code::Executed;
pub use failure::Failure;
pub use incarnation::Incarnation;
